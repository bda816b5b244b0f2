//! Tests of the relay against upstreams that misbehave.
