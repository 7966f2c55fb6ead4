//! Links: many requests multiplexed on one connection between two daemons.

mod client;
mod credit;
mod fetch;
mod handshake;
mod inbox;
mod incoming;
mod keeper;
mod outlet;
mod reader;
mod responder;
mod server;
mod slot;
mod stream;
mod table;

pub use client::LinkHandle;
pub use client::StreamLimits;
pub use fetch::fetch_registry;
pub use fetch::fetch_values;
pub use keeper::keep_link;
pub use server::serve_links;
pub use slot::LinkSlot;
pub use stream::AnswerBody;
pub use stream::BodySender;
pub use stream::ClientStream;
pub use stream::Reply;
