//! A loopback proxy whose link can be cut, slowed down or reset.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at a time.
const CHUNK: usize = 16 << 10;

/// What a link does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Link {
    /// It passes everything.
    Open,
    /// It passes nothing either way, and holds what arrives.
    Cut,
    /// It passes what the client sends, and holds the answers.
    AnswersCut,
    /// It passes everything so much later.
    Slow(Duration),
    /// It resets its connections and takes no new ones.
    Reset,
}

/// A proxy in front of one address.
pub(crate) struct Proxy {
    address: SocketAddr,
    link: Arc<watch::Sender<Link>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Up,
    Down,
}

impl Proxy {
    /// Starts a proxy that connects to an address.
    pub(crate) async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = Arc::new(watch::Sender::new(Link::Open));
        tokio::spawn(accept(listener, target, Arc::clone(&link)));
        Ok(Proxy { address, link })
    }

    /// Returns where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the link does.
    pub(crate) fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, link: Arc<watch::Sender<Link>>) {
    while let Ok((client, _)) = listener.accept().await {
        let link = link.subscribe();
        tokio::spawn(async move {
            if *link.borrow() == Link::Reset {
                return;
            }
            // A target that refuses closes the client's connection too.
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let (client_in, client_out) = client.into_split();
            let (server_in, server_out) = server.into_split();
            let mut reset = link.clone();
            tokio::select! {
                () = pass(client_in, server_out, link.clone(), Way::Up) => {}
                () = pass(server_in, client_out, link, Way::Down) => {}
                _ = reset.wait_for(|link| *link == Link::Reset) => {}
            }
        });
    }
}

/// Passes bytes on until one end closes.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    way: Way,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let Ok(length) = from.read(&mut chunk).await else {
            return;
        };
        let is_open = |link: &Link| match link {
            Link::Cut => false,
            Link::AnswersCut => way == Way::Up,
            Link::Open | Link::Slow(_) | Link::Reset => true,
        };
        let state = match link.wait_for(is_open).await {
            Ok(state) => *state,
            Err(_) => return,
        };
        if let Link::Slow(by) = state {
            tokio::time::sleep(by).await;
        }
        if length == 0 || to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
