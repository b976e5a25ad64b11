//! Objects of other writers that cannot be read, among those that can.

use std::sync::Arc;
use std::time::Duration;

use cassialock::entry::adapter::Consistency;
use cassialock::entry::adapter::Content;
use cassialock::entry::adapter::Object;
use cassialock::entry::adapter::ObjectKind;
use cassialock::entry::adapter::Store;
use cassialock::entry::adapter::WatchResult;
use cassialock::platform::client::ApiClient;
use cassialock::platform::object_store::ObjectStore;
use tokio::net::TcpListener;
use tokio::sync::watch;

const SOUND: &str = r#"{"service":"s","address":"10.1.0.1:80","zone":"a","version":"v1","slots":4,"state":"ready","born":1}"#;

/// Contents of a server's entry that are not sound.
fn odd_contents() -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    vec![
        SOUND.replace("\"slots\":4", &format!("\"slots\":{nested}")),
        SOUND.replace("\"slots\":4", "\"slots\":1e999"),
        SOUND.replace("\"slots\":4", "\"slots\":4,\"extra\":-1e400"),
        SOUND.replace(":80", ":70000"),
        nested,
        "1e999".into(),
        "null".into(),
    ]
}

fn object(name: &str, spec: &str) -> String {
    format!(r#"{{"metadata":{{"name":"{name}","revision":7}},"spec":{spec},"status":{{}}}}"#)
}

/// Returns a client of a store that answers every call with `body`.
async fn store_of(body: impl Into<bytes::Bytes>) -> ObjectStore {
    let body = body.into();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (_keep, stopped) = watch::channel(false);
        let handler = move |_: http::Request<hyper::body::Incoming>, _| {
            let body = body.clone();
            async move { cassialock::web::text(http::StatusCode::OK, body) }
        };
        cassialock::web::serve(listener, handler, stopped).await;
    });
    ObjectStore::new(Arc::new(ApiClient::new()), address)
}

/// Asserts that the sound object is used and the odd one is reported by its name.
fn assert_one_usable(objects: &[Object], odd: &str) {
    let shown = &odd[..odd.len().min(80)];
    assert_eq!(objects.len(), 2, "{shown}");
    for object in objects {
        let is_usable = matches!(object.content, Content::Backend(_));
        let is_unreadable = matches!(object.content, Content::Unreadable(_));
        let is_expected = match &*object.name {
            "sound" => is_usable,
            _ => is_unreadable,
        };
        assert!(is_expected, "{shown}: {:?}", object.content);
    }
}

/// Returns the objects that a store lists.
async fn list(page: Vec<u8>) -> Vec<Object> {
    let store = store_of(page).await;
    let listing = store.list(ObjectKind::Backends, Consistency::Current).await;
    listing.unwrap().objects
}

/// Returns the objects of the changes that a store delivers up to revision 9.
async fn watch(page: Vec<u8>) -> Vec<Object> {
    let store = store_of(page).await;
    let wait = Duration::from_millis(1);
    let watched = store.watch(ObjectKind::Backends, 5, wait).await;
    let Ok(WatchResult::Changes(9, changes)) = watched else {
        panic!("{watched:?}");
    };
    changes.into_iter().map(|change| change.object).collect()
}

/// Returns an entry of such content and a sound one, each in its own bytes.
fn beside_sound(odd: &[u8]) -> [Vec<u8>; 2] {
    let before = br#"{"metadata":{"name":"odd","revision":7},"status":{},"spec":"#;
    let odd = [before.as_slice(), odd, b"}"].concat();
    [odd, object("sound", SOUND).into_bytes()]
}

fn page(objects: &[Vec<u8>]) -> Vec<u8> {
    let items = objects.join(b",".as_slice());
    [b"{\"items\":[", &*items, b"],\"as_of\":9}"].concat()
}

fn changes(objects: &[Vec<u8>]) -> Vec<u8> {
    let event = |object: &Vec<u8>| [b"{\"object\":", &**object, b"}"].concat();
    let events: Vec<Vec<u8>> = objects.iter().map(event).collect();
    let events = events.join(b",".as_slice());
    [b"{\"events\":[", &*events, b"],\"as_of\":9}"].concat()
}

#[tokio::test]
async fn an_odd_server_among_others_does_not_end_a_listing() {
    for odd in odd_contents() {
        let objects = list(page(&beside_sound(odd.as_bytes()))).await;
        assert_one_usable(&objects, &odd);
    }
}

#[tokio::test]
async fn an_odd_server_among_others_does_not_end_a_watch() {
    for odd in odd_contents() {
        let objects = watch(changes(&beside_sound(odd.as_bytes()))).await;
        assert_one_usable(&objects, &odd);
    }
}

#[tokio::test]
async fn odd_objects_of_other_kinds_are_reported_by_name() {
    let nested = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    for kind in [
        ObjectKind::Catalog,
        ObjectKind::Moves,
        ObjectKind::Nodes,
        ObjectKind::Quarantine,
    ] {
        let items = object("odd", &nested);
        let store = store_of(format!(r#"{{"items":[{items}],"as_of":9}}"#)).await;
        let listing = store.list(kind, Consistency::Current).await.unwrap();
        assert_eq!(listing.objects.len(), 1, "{kind:?}");
        let content = &listing.objects[0].content;
        assert!(matches!(content, Content::Unreadable(_)), "{kind:?}");
    }
}

/// Replaces the marker `BYTE` by a byte that is no UTF-8.
fn with_bad_byte(text: &str) -> Vec<u8> {
    let (before, after) = text.split_once("BYTE").unwrap();
    [before.as_bytes(), &[0xff], after.as_bytes()].concat()
}

/// Contents of a server's entry that are no JSON in UTF-8.
fn unreadable_contents() -> Vec<Vec<u8>> {
    vec![
        with_bad_byte(&SOUND.replace("v1", "BYTE")),
        with_bad_byte(&SOUND.replace("version", "BYTE")),
        SOUND.replace("v1", "\u{1}").into_bytes(),
        SOUND.replace("v1", "\\ud800").into_bytes(),
        SOUND.replace(":4,", ":007,").into_bytes(),
        SOUND.replace(":4,", ":NaN,").into_bytes(),
    ]
}

/// Guards against finding no server, because the entry of another writer is not in UTF-8.
#[tokio::test]
async fn an_entry_that_is_no_text_does_not_hide_the_others() {
    for odd in unreadable_contents() {
        let shown = String::from_utf8_lossy(&odd).into_owned();
        let objects = beside_sound(&odd);
        assert_one_usable(&list(page(&objects)).await, &shown);
        assert_one_usable(&watch(changes(&objects)).await, &shown);
    }
}

/// Guards against finding no server, because the name of another entry is not in UTF-8.
#[tokio::test]
async fn an_entry_whose_name_is_no_text_does_not_hide_the_others() {
    let named = with_bad_byte(&object("BYTE", SOUND));
    let objects = list(page(&[named, object("sound", SOUND).into_bytes()])).await;
    assert_eq!(objects.len(), 1);
    assert!(matches!(objects[0].content, Content::Backend(_)));
}

/// Guards against a listing that ends at a page whose last name is not in UTF-8.
#[tokio::test]
async fn a_listing_goes_on_after_a_name_that_is_no_text() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (_keep, stopped) = watch::channel(false);
        let handler = |request: http::Request<hyper::body::Incoming>, _| async move {
            let page = match request.uri().query() {
                None => format!(
                    r#"{{"items":[{}],"has_more":true,"as_of":9}}"#,
                    object("BYTE", SOUND)
                ),
                Some("after=%FF") => {
                    format!(
                        r#"{{"items":[{}],"note":"BYTE","as_of":9}}"#,
                        object("sound", SOUND)
                    )
                }
                Some(_) => r#"{"items":[],"note":"BYTE","as_of":9}"#.into(),
            };
            cassialock::web::text(http::StatusCode::OK, with_bad_byte(&page))
        };
        cassialock::web::serve(listener, handler, stopped).await;
    });
    let store = ObjectStore::new(Arc::new(ApiClient::new()), address);
    let listing = store.list(ObjectKind::Backends, Consistency::Current).await;
    assert_eq!(listing.unwrap().objects.len(), 1);
}

/// Guards against a lease that cannot be taken, because its object is not in UTF-8.
#[tokio::test]
async fn an_object_of_ours_that_is_no_text_can_be_replaced() {
    let text = r#"{"metadata":{"name":"duties","revision":7},"spec":{"holder":"BYTE"}}"#;
    let store = store_of(with_bad_byte(text)).await;
    let object = store.get(ObjectKind::Leases, "duties").await.unwrap();
    let object = object.unwrap();
    assert_eq!(object.revision, 7);
    assert!(matches!(object.content, Content::Unreadable(_)));
}
