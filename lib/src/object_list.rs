//! Serialises maps of configured objects as lists, since each object contains its own key.

macro_rules! object_list {
    ($module:ident, $key:ty, $object:ty, $field:ident) => {
        pub(crate) mod $module {
            use indexmap::IndexMap;
            use serde::de::Error;
            use serde::{Deserialize, Deserializer, Serializer};

            pub(crate) fn serialize<S: Serializer>(
                objects: &IndexMap<$key, $object>,
                serializer: S,
            ) -> Result<S::Ok, S::Error> {
                serializer.collect_seq(objects.values())
            }

            pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
                deserializer: D,
            ) -> Result<IndexMap<$key, $object>, D::Error> {
                let objects = Vec::<$object>::deserialize(deserializer)?;
                let mut map = IndexMap::with_capacity(objects.len());
                for object in objects {
                    if let Some(old) = map.insert(object.$field.clone(), object) {
                        return Err(D::Error::custom(format_args!(
                            "{} is listed twice",
                            old.$field
                        )));
                    }
                }
                Ok(map)
            }
        }
    };
}

object_list!(
    customers,
    crate::ids::CustomerId,
    crate::config::Customer,
    id
);
object_list!(routes, crate::ids::RouteId, crate::config::Route, id);
object_list!(services, crate::ids::ServiceId, crate::config::Service, id);
object_list!(targets, crate::ids::TargetId, crate::config::Target, id);
