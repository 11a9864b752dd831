//! Looks up the route of a request by its path.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::Route;

/// Finds the route with the longest matching path prefix.
///
/// A prefix matches whole segments: `/berths` matches `/berths` and `/berths/7`, not `/berths2`.
/// A lookup costs one hash per segment of the path, however many routes there are.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: IndexMap<String, Arc<Route>>,
}

impl RouteTable {
    /// Adds or replaces the route with the same path prefix.
    pub fn insert(&mut self, route: Arc<Route>) {
        self.routes
            .insert(normalise(&route.path_prefix).to_owned(), route);
    }

    /// Removes the route with this path prefix, if there is one.
    pub fn remove(&mut self, path_prefix: &str) {
        self.routes.swap_remove(normalise(path_prefix));
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Finds the route for a path.
    pub fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let mut prefix = normalise(path);
        loop {
            if let Some(route) = self.routes.get(prefix) {
                return Some(route);
            }
            let (parent, _) = prefix.rsplit_once('/')?;
            prefix = parent;
        }
    }
}

impl<'a> FromIterator<&'a Route> for RouteTable {
    fn from_iter<I: IntoIterator<Item = &'a Route>>(routes: I) -> Self {
        let mut table = Self::default();
        routes
            .into_iter()
            .for_each(|route| table.insert(Arc::new(route.clone())));
        table
    }
}

fn normalise(path: &str) -> &str {
    path.trim_end_matches('/')
}
