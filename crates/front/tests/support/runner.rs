//! Runs the steps of a session file and returns the transcript.
//!
//! A line without indentation is a step. The indented lines after it are its output: the received
//! message, or the recorded gateway calls. Steps of `client`, `client2`, `t1` and `t2` act on the
//! clients' connections and on the latest connections that the two targets accepted. `t1-second` is
//! a further connection that `t1` accepts beside it. `wait-ms` gives a server with a
//! fault the time to show it; no output depends on its length.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};
use wagtailmoor_core::ByteCount;
use wagtailmoor_front::{FrontLimits, RemainderLimits, Server};

use super::gateway::ScriptedGateway;
use super::wire::Wire;

/// Receive buffer of a slow client. Most of a long response stays in the server's send buffer until
/// the client reads.
const SLOW_BUFFER_BYTES: u32 = 4 * 1024;

/// Limit that only a hanging session reaches.
const HANG_LIMIT: Duration = Duration::from_secs(60);

struct Target {
    listener: TcpListener,
    connections: [Option<Wire>; 2],
}

struct Session<const EARLY: bool> {
    gateway: Rc<ScriptedGateway<EARLY>>,
    address: SocketAddr,
    targets: Vec<Target>,
    clients: [Option<Wire>; 2],
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
}

/// Runs a session and returns its transcript.
pub(crate) fn run_session(script: &str) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let transcript = async {
            match script.lines().any(|line| line == "run-pipelined-early") {
                true => transcript::<true>(script).await,
                false => transcript::<false>(script).await,
            }
        };
        timeout(HANG_LIMIT, transcript).await.expect("the session hangs")
    })
}

async fn transcript<const EARLY: bool>(script: &str) -> String {
    let option = |prefix| script.lines().find_map(|line| line.strip_prefix(prefix));
    let client_timeout = option("timeout-ms ").map_or(50_000, |ms| ms.parse().unwrap());
    let client_timeout = Duration::from_millis(client_timeout);
    let limits = FrontLimits {
        connections_max: option("connections-max ").map_or(16, |count| count.parse().unwrap()),
        head_max_bytes: 8_192,
        head_timeout: client_timeout,
        body_idle_timeout: client_timeout,
    };
    let default = RemainderLimits::default();
    let remainder_limits = RemainderLimits {
        timeout: option("remainder-timeout-ms ")
            .map_or(default.timeout, |ms| Duration::from_millis(ms.parse().unwrap())),
        size_max: option("remainder-max-bytes ")
            .map_or(default.size_max, |bytes| ByteCount::new(bytes.parse().unwrap())),
    };
    let mut session = Session::<EARLY>::start(limits, remainder_limits).await;
    let mut lines = Vec::new();
    for step in script.lines().filter(|line| !line.starts_with("    ")) {
        lines.push(step.to_owned());
        let output = match timeout(HANG_LIMIT / 2, session.step(step)).await {
            Ok(output) => output,
            Err(_) => {
                panic!("step hangs: {step}\n{}\n{:?}", lines.join("\n"), session.gateway.lines())
            }
        };
        lines.extend(output.into_iter().map(|line| format!("    {line}")));
    }
    lines.join("\n") + "\n"
}

impl<const EARLY: bool> Session<EARLY> {
    async fn start(limits: FrontLimits, remainder_limits: RemainderLimits) -> Self {
        let mut targets = Vec::new();
        for _ in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            targets.push(Target { listener, connections: [None, None] });
        }
        let addresses = targets.iter().map(|target| target.listener.local_addr().unwrap());
        let gateway = Rc::new(ScriptedGateway::new(addresses.collect()));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server =
            Server::new(Rc::clone(&gateway), limits).with_remainder_limits(remainder_limits);
        let (stop, stopping) = watch::channel(false);
        let serving = spawn_local(async move { server.serve(listener, stopping).await });
        Self { gateway, address, targets, clients: [None, None], stop, serving }
    }

    async fn step(&mut self, step: &str) -> Vec<String> {
        let (verb, rest) = step.split_once(' ').unwrap_or((step, ""));
        match verb {
            "" | "#" | "timeout-ms" | "connections-max" | "run-pipelined-early" => Vec::new(),
            "remainder-timeout-ms" | "remainder-max-bytes" => Vec::new(),
            "client" => self.client(0, rest).await,
            "client2" => self.client(1, rest).await,
            "t1" => self.targets[0].step(0, rest).await,
            "t1-second" => self.targets[0].step(1, rest).await,
            "t2" => self.targets[1].step(0, rest).await,
            "stop" => {
                self.stop.send_replace(true);
                Vec::new()
            }
            "wait-ms" => {
                sleep(Duration::from_millis(rest.parse().unwrap())).await;
                Vec::new()
            }
            "wait-finished" => self.wait_finished(rest.parse().unwrap()).await,
            "gateway-calls" => self.gateway_calls().await,
            _ => panic!("unknown step {step}"),
        }
    }

    async fn client(&mut self, index: usize, action: &str) -> Vec<String> {
        let client = &mut self.clients[index];
        match action {
            "connect" => {
                let stream = TcpStream::connect(self.address).await.unwrap();
                *client = Some(Wire::new(stream));
                Vec::new()
            }
            "connect-slow" => {
                let socket = TcpSocket::new_v4().unwrap();
                socket.set_recv_buffer_size(SLOW_BUFFER_BYTES).unwrap();
                *client = Some(Wire::new(socket.connect(self.address).await.unwrap()));
                Vec::new()
            }
            "disconnect" => {
                *client = None;
                Vec::new()
            }
            _ => socket_step(client.as_mut().expect("a client is connected"), action).await,
        }
    }

    async fn wait_finished(&self, count: usize) -> Vec<String> {
        let ended =
            |line: &&String| line.starts_with("event=finish") || line.starts_with("event=refused");
        while self.gateway.lines().iter().filter(ended).count() < count {
            self.gateway.logged.notified().await;
        }
        Vec::new()
    }

    async fn gateway_calls(&mut self) -> Vec<String> {
        self.clients = [None, None];
        self.stop.send_replace(true);
        (&mut self.serving).await.unwrap();
        self.gateway.lines()
    }
}

impl Target {
    async fn step(&mut self, index: usize, action: &str) -> Vec<String> {
        let connection = &mut self.connections[index];
        match action {
            "accept" => {
                let (stream, _) = self.listener.accept().await.unwrap();
                *connection = Some(Wire::new(stream));
                Vec::new()
            }
            "close" => {
                *connection = None;
                Vec::new()
            }
            _ => socket_step(connection.as_mut().expect("a connection"), action).await,
        }
    }
}

async fn socket_step(wire: &mut Wire, action: &str) -> Vec<String> {
    let (verb, text) = action.split_once(' ').unwrap_or((action, ""));
    match verb {
        "sends" => wire.send(unescape(text).as_bytes()).await,
        "sends-bytes" => wire.send(&vec![b'x'; text.parse().unwrap()]).await,
        "reads" => return wire.read_message(text == "head").await,
        "reads-bytes" => return wire.read_bytes(text.parse().unwrap()).await,
        "reads-eof" => return wire.read_to_end().await,
        "reads-eof-before" => return wire.read_to_end_before(text.parse().unwrap()).await,
        _ => panic!("unknown action {action}"),
    }
    Vec::new()
}

fn unescape(text: &str) -> String {
    text.replace("\\r", "\r").replace("\\n", "\n")
}
