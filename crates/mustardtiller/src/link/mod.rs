//! Links: many requests multiplexed on one connection between two daemons.

mod client;
mod connector;
mod credit;
mod disown;
mod fetch;
mod guard;
mod handshake;
mod inbox;
mod incoming;
mod reader;
mod responder;
mod server;
mod slot;
mod stream;
mod table;
mod write_queue;

pub use client::LinkHandle;
pub use client::StreamDeadlines;
pub use connector::maintain_link;
pub use disown::LinkDirectory;
pub use fetch::fetch_registry;
pub use fetch::fetch_values;
pub use server::serve_links;
pub use slot::LinkSlot;
pub use stream::AnswerBody;
pub use stream::BodySender;
pub use stream::ClientStream;
pub use stream::Reply;
