//! Command line arguments.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, construct, long};

#[derive(Clone, Copy, Debug)]
pub(crate) struct Arguments {
    /// Client address of the first entry process; the second one uses the next port.
    pub(crate) listen: SocketAddr,
}

pub(crate) fn arguments() -> OptionParser<Arguments> {
    let listen = long("listen")
        .help("client address of the first entry process; the second one uses the next port")
        .argument::<SocketAddr>("IP:PORT")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 8_080)))
        .display_fallback();
    construct!(Arguments { listen }).to_options().version(env!("CARGO_PKG_VERSION")).descr(
        "Runs a complete site in one process, with a simulated platform and simulated targets.",
    )
}
