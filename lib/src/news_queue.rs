//! News about members that wait to be passed on with probes.

use indexmap::IndexMap;

use crate::membership_types::MemberNews;

/// The most news in one message.
const MAX_NEWS: usize = 6;
/// News are passed on this often for each doubling of the number of members.
const REPEATS: u32 = 3;

/// News with the number of messages that each is still to travel in.
#[derive(Clone, Debug, Default)]
pub(crate) struct NewsQueue(IndexMap<MemberNews, u32>);

impl NewsQueue {
    /// Passes news on, unless they wait already.
    pub(crate) fn push(&mut self, item: MemberNews, members: usize) {
        let repeats = REPEATS * (members as u32 + 1).ilog2().max(1);
        self.0.entry(item).or_insert(repeats);
    }

    /// Returns the news for one message.
    pub(crate) fn take(&mut self) -> Vec<MemberNews> {
        let mut out = Vec::new();
        for (item, left) in self.0.iter_mut().take(MAX_NEWS) {
            *left -= 1;
            out.push(item.clone());
        }
        self.0.retain(|_, left| *left > 0);
        out
    }
}
