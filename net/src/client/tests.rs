//! Tests of the HTTP client.

use super::Client;
use crate::{block_on, executor, Stream, Timer};
use futures_lite::AsyncReadExt;
use hyper::Method;
use std::io::ErrorKind;
use std::time::Duration;
use test_case::test_case;

#[test_case(true => Some(ErrorKind::ConnectionReset); "reset, where that is asked for")]
#[test_case(false => None; "closed otherwise")]
fn a_dropped_exchange_resets_or_closes_its_connection(resets: bool) -> Option<ErrorKind> {
    let exec = executor();
    block_on(exec.run(async {
        let listener = crate::Listener::bind(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.get_ref().local_addr().unwrap().to_string();
        let client = Client::new(exec, Duration::from_secs(1), 4, Duration::from_secs(1));
        let client = if resets { client.resetting() } else { client };
        let request = Client::request(Method::PUT, &address, "/x");
        let request_and_drop = async {
            let timeout = Timer::after(Duration::from_millis(50));
            _ = futures_lite::future::or(
                async { _ = client.exchange(&address, request, 100, || true).await },
                timeout,
            )
            .await;
        };
        let accept = async { Stream::new(listener.accept().await.unwrap().0).unwrap() };
        let (_, mut stream) = futures_lite::future::zip(request_and_drop, accept).await;
        let mut bytes = [0; 512];
        loop {
            match stream.read(&mut bytes).await {
                Ok(0) => return None,
                Ok(_) => {}
                Err(error) => return Some(error.kind()),
            }
        }
    }))
}
