//! HTTP servers of the stand-ins. Each runs in its own thread and can abort its connections.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web::ServiceConfig;

/// Time for which a graceful stop waits for requests in flight, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 30;

/// Time for which an idle connection is kept. Clients pool connections across the pauses of a test.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Locks a mutex and ignores poisoning, so that a panic elsewhere does not hide the data from later
/// checks.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type CloseHook = Box<dyn FnOnce() + Send>;

/// Second handle to the socket of a connection, with functions to run after the connection closes.
struct Socket {
    stream: TcpStream,
    on_close: Mutex<Vec<CloseHook>>,
}

impl Socket {
    fn shutdown(&self) {
        // The peer may have closed the socket already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        for hook in std::mem::take(&mut *lock(&self.on_close)) {
            hook();
        }
    }
}

/// Connection data of the web framework, which gives a request access to the socket of its
/// connection.
struct Conn(Arc<Socket>);

/// Closes the connection of `req`, so that the client gets no response, or no more of it.
pub(crate) fn abort_connection(req: &HttpRequest) {
    if let Some(conn) = req.conn_data::<Conn>() {
        conn.0.shutdown();
    }
}

/// Runs `f` when the connection of `req` has been closed. Runs it at once when the server holds no
/// handle to the socket, which happens if duplicating the file descriptor failed.
pub(crate) fn on_close(req: &HttpRequest, f: impl FnOnce() + Send + 'static) {
    match req.conn_data::<Conn>() {
        Some(conn) => lock(&conn.0.on_close).push(Box::new(f)),
        None => f(),
    }
}

/// The open connections of a server.
#[derive(Clone, Default)]
struct Connections(Arc<Mutex<Vec<Weak<Socket>>>>);

impl Connections {
    fn add(&self, conn: &Conn) {
        let mut sockets = lock(&self.0);
        sockets.retain(|socket| socket.strong_count() > 0);
        sockets.push(Arc::downgrade(&conn.0));
    }

    fn abort_all(&self) {
        let sockets = std::mem::take(&mut *lock(&self.0));
        for socket in sockets.iter().filter_map(Weak::upgrade) {
            socket.shutdown();
        }
    }
}

/// A running HTTP server with one worker. Dropping it aborts its connections.
pub(crate) struct HttpThread {
    addr: SocketAddr,
    handle: ServerHandle,
    connections: Connections,
    thread: Option<JoinHandle<()>>,
}

impl HttpThread {
    /// Serves `routes` on `listener`, with at most `max_connections` open connections.
    pub(crate) fn start<F>(
        listener: TcpListener,
        max_connections: usize,
        routes: F,
    ) -> io::Result<Self>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        let addr = listener.local_addr()?;
        let connections = Connections::default();
        let accepted_connections = connections.clone();
        let (tx, rx) = mpsc::channel();
        let thread =
            std::thread::Builder::new().name(format!("http-{}", addr.port())).spawn(move || {
                actix_rt::System::new().block_on(async move {
                    let server = HttpServer::new(move || App::new().configure(routes.clone()))
                        .workers(1)
                        .max_connections(max_connections)
                        .keep_alive(KEEP_ALIVE)
                        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
                        .disable_signals()
                        // A client that closes its connection cancels its request.
                        .h1_allow_half_closed(false)
                        .on_connect(move |io, data| {
                            let Some(io) = io.downcast_ref::<tokio::net::TcpStream>() else {
                                return;
                            };
                            let _ = io.set_nodelay(true);
                            if let Ok(fd) = io.as_fd().try_clone_to_owned() {
                                let stream = TcpStream::from(fd);
                                let on_close = Mutex::default();
                                let conn = Conn(Arc::new(Socket { stream, on_close }));
                                accepted_connections.add(&conn);
                                data.insert(conn);
                            }
                        })
                        .listen(listener);
                    match server {
                        Ok(server) => {
                            let server = server.run();
                            let _ = tx.send(Ok(server.handle()));
                            let _ = server.await;
                        }
                        Err(e) => {
                            let _ = tx.send(Err(e));
                        }
                    }
                });
            })?;
        let handle =
            rx.recv().map_err(|_| io::Error::other("the server thread ended at start"))??;
        Ok(Self { addr, handle, connections, thread: Some(thread) })
    }

    /// Address that the server listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes every open connection; new ones are accepted.
    pub(crate) fn abort_all(&self) {
        self.connections.abort_all();
    }

    /// Stops the server and waits until its thread has ended. A graceful stop lets requests in
    /// flight finish.
    pub(crate) fn stop(&mut self, graceful: bool) {
        let Some(thread) = self.thread.take() else { return };
        drop(self.handle.stop(graceful));
        if !graceful {
            self.abort_all();
        }
        let _ = thread.join();
    }
}

impl Drop for HttpThread {
    fn drop(&mut self) {
        self.stop(false);
    }
}

/// Binds `addr`, retrying for a short time while the kernel still releases the port.
pub(crate) fn bind_with_retry(addr: SocketAddr) -> io::Result<TcpListener> {
    let mut retries = 0;
    loop {
        match TcpListener::bind(addr) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && retries < 100 => {
                retries += 1;
                std::thread::sleep(Duration::from_millis(10));
            }
            result => return result,
        }
    }
}
