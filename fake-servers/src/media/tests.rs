use super::listening::{listen, Unreachable};
use super::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ottersail_invariants::platform::{End, ServerEvent};
use ottersail_net::Stream;
use std::time::Instant;

fn fleet(life: Duration) -> MediaFleet {
    let settings = MediaSettings { servers: 3, seed: 1, life: life..life, note_every: Duration::ZERO };
    MediaFleet::start(settings).unwrap()
}

/// `None` if it neither came up nor was refused.
async fn connected_within(address: SocketAddr, limit: Duration) -> Option<std::io::Result<Stream>> {
    let late = async {
        Timer::after(limit).await;
        None
    };
    futures_lite::future::or(async { Some(Stream::connect(address).await) }, late).await
}

/// What comes until there is so much of it, or the connection ends.
async fn read_until(stream: &mut Stream, text: &str) -> Result<String, std::io::ErrorKind> {
    let mut read = Vec::new();
    while !String::from_utf8_lossy(&read).contains(text) {
        let mut piece = [0; 512];
        match stream.read(&mut piece).await {
            Ok(0) => return Err(std::io::ErrorKind::UnexpectedEof),
            Ok(count) => read.extend_from_slice(&piece[..count]),
            Err(error) => return Err(error.kind()),
        }
    }
    Ok(String::from_utf8_lossy(&read).into_owned())
}

const START: &str = "{\"verb\":\"START\",\"tag\":\"00000000000000a1\",\"opts\":{},\"blob\":\"x\"}\n";
const SOON: Duration = Duration::from_millis(500);

#[test]
fn a_release_that_found_no_connection_comes_on_the_next_one() {
    let fleet = fleet(Duration::from_millis(100));
    block_on(async {
        let mut first = Stream::connect(fleet.address(1)).await.unwrap();
        first.write_all(START.as_bytes()).await.unwrap();
        assert!(read_until(&mut first, "STARTED").await.is_ok());
        drop(first);
        Timer::after(SOON).await;
        let mut next = Stream::connect(fleet.address(1)).await.unwrap();
        assert!(read_until(&mut next, "\n").await.unwrap().contains("\"rc\":16"));
    });
    let over =
        |event: &ServerEvent| matches!(event, ServerEvent::Over { could_tell: false, end: End::Served, .. });
    assert_eq!(fleet.log().events().iter().filter(|event| over(event)).count(), 1);
}

#[test]
fn a_machine_that_died_is_silent_and_resets_what_is_said_to_it_after_its_return() {
    let fleet = fleet(Duration::from_secs(60));
    block_on(async {
        let mut old = Stream::connect(fleet.address(0)).await.unwrap();
        old.write_all(START.as_bytes()).await.unwrap();
        assert!(read_until(&mut old, "STARTED").await.is_ok());
        fleet.tell(MediaOrder::Die(vec![0]));
        Timer::after(SOON).await;
        assert!(connected_within(fleet.address(0), SOON).await.is_none(), "new connections never come up");
        assert!(
            connected_within(fleet.address(1), SOON).await.is_some_and(|up| up.is_ok()),
            "others are as before"
        );
        fleet.tell(MediaOrder::ReturnRestarted(vec![0]));
        Timer::after(SOON).await;
        let mut new = connected_within(fleet.address(0), Duration::from_secs(3)).await.unwrap().unwrap();
        new.write_all(b"{\"verb\":\"ECHO\",\"tag\":\"7\",\"opts\":{}}\n").await.unwrap();
        assert!(read_until(&mut new, "ECHOED").await.is_ok());
        old.write_all(b"{\"verb\":\"ECHO\",\"tag\":\"8\",\"opts\":{}}\n").await.unwrap();
        assert_eq!(read_until(&mut old, "\n").await, Err(std::io::ErrorKind::ConnectionReset));
    });
}

#[test]
fn a_process_that_crashes_resets_and_refuses_until_it_is_started_again() {
    let fleet = fleet(Duration::from_secs(60));
    block_on(async {
        let mut old = Stream::connect(fleet.address(2)).await.unwrap();
        old.write_all(START.as_bytes()).await.unwrap();
        assert!(read_until(&mut old, "STARTED").await.is_ok());
        let began = Instant::now();
        fleet.tell(MediaOrder::Crash(vec![2]));
        assert_eq!(read_until(&mut old, "\n").await, Err(std::io::ErrorKind::ConnectionReset));
        Timer::after(SOON).await;
        assert!(Stream::connect(fleet.address(2)).await.is_err());
        fleet.tell(MediaOrder::Restart(vec![2]));
        Timer::after(SOON).await;
        assert!(Stream::connect(fleet.address(2)).await.is_ok());
        assert!(began.elapsed() < Duration::from_secs(10));
    });
}

#[test]
fn the_next_fleet_may_have_the_addresses_of_one_that_ended() {
    let settings = MediaSettings { servers: 3, seed: 1, life: SOON..SOON, note_every: Duration::ZERO };
    let (mut seen, mut again) = (std::collections::BTreeSet::new(), 0);
    for _ in 0..20 {
        let fleet = MediaFleet::start(settings.clone()).unwrap();
        again += usize::from(!seen.insert(fleet.address(0)));
    }
    assert!(again > 0, "{seen:?}");
}

/// Guards against: a server that was cut off can't listen again while another process is being started, which holds
/// a copy of the descriptor of its old listener until it runs its own program.
#[test]
fn an_address_can_be_listened_at_again_though_a_copy_of_the_listener_is_left() {
    let network = LoopbackNetwork::claim().unwrap();
    let unreachable = Unreachable::at(network.server(0)).unwrap();
    let copy = unreachable.listener.try_clone().unwrap();
    drop(unreachable);
    listen(network.server(0)).unwrap();
    drop(copy);
}
