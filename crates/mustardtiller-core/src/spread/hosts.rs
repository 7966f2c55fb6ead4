//! The host list: election of readers and choice of gossip peers.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::DataCentreName;
use crate::UpstreamName;

/// Whether a host is live or leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// It takes requests.
    Live,
    /// It is leaving.
    Leaving,
}

/// One host of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The upstream on the host.
    pub name: UpstreamName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Address of its daemon for links and gossip.
    pub link: SocketAddr,
    /// Whether it is live or leaving.
    pub state: MemberState,
}

/// The host list as last read; it may be stale.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HostList {
    /// The hosts.
    pub members: Vec<Member>,
}

impl HostList {
    /// Return the state of a host, or `None` if it is not listed.
    #[must_use]
    pub fn state_of(&self, name: &UpstreamName) -> Option<MemberState> {
        let member = self.members.iter().find(|member| member.name == *name)?;
        Some(member.state)
    }

    /// Report whether `me` is one of the `readers` of its data centre.
    ///
    /// The readers are the live hosts of a data centre with the highest hashes, so
    /// that all daemons with the same list agree without communication. A host
    /// that is not listed is a reader too: it can't know whether another host
    /// reads for it.
    #[must_use]
    pub fn is_reader(&self, me: &UpstreamName, readers: usize) -> bool {
        self.reader_rank(me, readers)
            .is_none_or(|rank| rank < readers)
    }

    /// Return how many hosts come before `me` in the order of readers, at most `limit`.
    ///
    /// `None` if `me` is not listed.
    #[must_use]
    pub fn reader_rank(&self, me: &UpstreamName, limit: usize) -> Option<usize> {
        let own = self.members.iter().find(|member| member.name == *me)?;
        let own_weight = weight(&own.name);
        let before = self.members.iter().filter(|member| {
            member.data_centre == own.data_centre
                && member.state == MemberState::Live
                && weight(&member.name) > own_weight
        });
        Some(before.take(limit).count())
    }

    /// Return how many data centres come before `data_centre` in order of name, and how many there are.
    #[must_use]
    pub fn data_centre_order(&self, data_centre: &DataCentreName) -> (usize, usize) {
        let mut data_centres: SmallVec<[&DataCentreName; 16]> = SmallVec::new();
        for member in &self.members {
            if !data_centres.contains(&&member.data_centre) {
                data_centres.push(&member.data_centre);
            }
        }
        let before = data_centres
            .iter()
            .filter(|other| ***other < *data_centre)
            .count();
        (before, data_centres.len().max(1))
    }

    /// Draw up to `count` random peers other than `me`.
    ///
    /// Half of the draws are from `data_centre`, where the network is cheap; the rest
    /// are from the whole list, so that the gossip reaches every data centre.
    #[must_use]
    pub fn draw_peers(
        &self,
        me: &UpstreamName,
        data_centre: &DataCentreName,
        count: usize,
        rng: &mut fastrand::Rng,
    ) -> SmallVec<[SocketAddr; 4]> {
        let mut peers = SmallVec::new();
        for _ in 0..count * 4 {
            if peers.len() == count || self.members.is_empty() {
                break;
            }
            let near = rng.bool();
            let member = self.draw(near.then_some(data_centre), rng);
            if member.name != *me && !peers.contains(&member.link) {
                peers.push(member.link);
            }
        }
        peers
    }

    /// Draw a random member, from `data_centre` if a few draws find one there.
    fn draw(&self, data_centre: Option<&DataCentreName>, rng: &mut fastrand::Rng) -> &Member {
        let mut member = &self.members[rng.usize(..self.members.len())];
        if let Some(data_centre) = data_centre {
            for _ in 0..16 {
                if member.data_centre == *data_centre {
                    break;
                }
                member = &self.members[rng.usize(..self.members.len())];
            }
        }
        member
    }
}

fn weight(name: &UpstreamName) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
