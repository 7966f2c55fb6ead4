//! Routing: the choice of an upstream for a request.

mod caller_timeout;
mod choice;
mod health;
mod miss;
mod offer;
mod return_time;
mod sample;
mod scope;
mod split;
mod subset;

pub use caller_timeout::CallerTimeout;
pub use choice::Choice;
pub use choice::Policy;
pub use choice::Preference;
pub use choice::choose;
pub use health::EjectionRule;
pub use health::ErrorRate;
pub use health::may_avoid;
pub use health::may_eject;
pub use miss::MissView;
pub use offer::OfferRule;
pub use offer::Offers;
pub use return_time::RefusedCall;
pub use return_time::ReturnTime;
pub use return_time::ReturnWindow;
pub use sample::Availability;
pub use sample::Sample;
pub use scope::OfferScope;
pub use split::Splitter;
pub use subset::subset;
pub use subset::subset_by_group;
