//! Values that several tests begin with.

use cassialock::core::Name;
use cassialock::core::name_map::NameMap;
use cassialock::core::peer::NodeStatus;
use cassialock::core::peer::Phase;
use cassialock::core::route::servers::Class;
use cassialock::core::route::servers::Vm;
use cassialock::core::time::Time;

/// Returns the status of a node that serves and has done nothing yet.
pub fn node_status(node: Name, incarnation: u64, domain: Name, address: [u8; 4]) -> NodeStatus {
    NodeStatus {
        node,
        incarnation,
        seq: 0,
        domain,
        front: (address, 80).into(),
        peer: (address, 81).into(),
        phase: Phase::Ready,
        time: Time::default(),
        lease: None,
        quota_usage: NameMap::new(),
        traffic: NameMap::new(),
        request_counts: Vec::new(),
        crashes: Vec::new(),
        evidence: NameMap::new(),
        vetoes: NameMap::new(),
    }
}

/// Returns an on-demand server of the service `llm` in one of three failure domains; `born`
/// tells its incarnations apart.
pub fn vm(index: usize, born: usize) -> Vm {
    Vm {
        id: format!("i-{index}/{born}").into(),
        service: "llm".into(),
        version: "v1".into(),
        address: "10.0.0.1:80".into(),
        domain: format!("domain-{}", index % 3).into(),
        class: Class::OnDemand,
        leaving: false,
    }
}
