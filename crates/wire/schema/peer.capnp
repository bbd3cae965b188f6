@0xd2c31f5e8a7b6409;
# Calls between routers. See docs/design/0003-peer-messages.md.

interface Greeter {
  # What a connection offers before either side has proved anything. It answers one greeting.

  greet @0 (router :UInt32, nonce :Data) -> (router :UInt32, nonce :Data, session :Session);
  # The caller names itself and challenges; the answer names the callee and challenges in turn.
}

interface Session {
  # A greeting that waits for the caller's proof. It takes one proof.

  prove @0 (proof :Data) -> (proof :Data, peer :Peer);
  # The caller proves first, so that a stranger is never handed a proof.
}

interface Peer {
  # What a router offers to a peer that has proved that it holds the fleet's key.

  exchange @0 (frame :Data) -> ();
  # Hands over one frame. Calls on one connection are delivered in order.

  ping @1 () -> ();
  # Shows that the connection still works when no frame was due.
}
