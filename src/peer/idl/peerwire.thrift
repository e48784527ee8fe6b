namespace cpp hawthornpick.peer.wire

// First frame of each side of a link. The accepting side adds its proof.
struct hello {
  1: i32 version
  2: binary nonce
  3: string node
  4: i64 incarnation
  5: optional binary proof
}

// Last handshake frame of the connecting side.
struct hello_proof {
  1: binary proof
}
