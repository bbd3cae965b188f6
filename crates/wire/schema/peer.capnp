@0xd2c31f5e8a7b6409;
# Calls between routers. See docs/design/0003-peer-messages.md.

interface Greeter {
  # The capability that a connection offers before either side has proved its identity.
  # A greeter answers one greeting.

  greet @0 (router :UInt32, nonce :Data) -> (router :UInt32, nonce :Data, session :Session);
  # The caller sends its id and a nonce; the callee answers with its own id and nonce.
}

interface Session {
  # A greeting for which the caller's proof is still due. A session accepts one proof.

  prove @0 (proof :Data) -> (proof :Data, peer :Peer);
  # The caller proves first, so that the callee sends no proof to an unproved caller.
}

interface Peer {
  # The capability that a router offers to a peer that has proved that it holds the fleet's key.

  exchange @0 (frame :Data) -> ();
  # Sends one frame. Calls on one connection are delivered in order.

  ping @1 () -> ();
  # Keeps the connection alive when there is no frame to send, and checks that it still works.
}
