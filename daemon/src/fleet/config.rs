//! The membership configuration of a manager.

use crate::error::RunError;
use crate::settings::manager::ManagerSettings;
use ottersail_membership::{InstanceId, LocalMember, MemberId, MembershipConfig};

/// The membership configuration from the settings; `None` if they have no `[members]`.
///
/// # Errors
/// If the configuration is invalid.
pub fn member_terms(
    manager: &ManagerSettings,
    instance: InstanceId,
) -> Result<Option<MembershipConfig>, RunError> {
    let Some(settings) = &manager.members else {
        return Ok(None);
    };
    let (name, site) = (settings.name.clone(), manager.terms.zone.to_string());
    let id = MemberId::of(&settings.cluster, &name);
    let mut config = MembershipConfig::new(
        LocalMember { name, id, instance, address: settings.advertise, site },
        settings.seeds.clone(),
    );
    config.probe_period = settings.period;
    config.check()?;
    Ok(Some(config))
}
