use super::*;

#[test]
fn each_token_maps_back_to_its_owner() {
    for (token, owner) in [
        (RESP2_LISTENER, TokenOwner::ClientListener),
        (MEMCACHED_LISTENER, TokenOwner::ClientListener),
        (SIGNALS_TOKEN, TokenOwner::Signals),
        (DISCOVERY, TokenOwner::Discovery),
        (ADMIN_LISTENER, TokenOwner::AdminListener),
    ] {
        assert_eq!(TokenOwner::of(token), owner);
    }
    for key in 0..MAX_ADMIN_CLIENTS {
        let token = admin_client_token(key);
        assert_eq!(TokenOwner::of(token), TokenOwner::AdminClient(key));
    }
    for key in [0, 1, 7, 20_000] {
        assert_eq!(TokenOwner::of(client_token(key)), TokenOwner::Client(key));
        let token = upstream_token(key);
        assert_eq!(TokenOwner::of(token), TokenOwner::Upstream(key));
    }
}
