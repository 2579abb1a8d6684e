// Package balance decides where a gateway sends each request: to which host of a group of database hosts,
// when a request waits, when it is retried and when it is given up. A group is one primary and its replicas.
//
// # Use
//
// The package does no I/O, starts no goroutine and reads no clock. The embedding program passes one [Event]
// at a time to [Router.Handle], with the time of day, and carries out the [Action] values that come back. The
// same settings, seed and events always give the same actions, on every kind of machine: a conversion rounds
// each product before it enters a sum, because some compilers otherwise fuse the two. The embedding program
// must
//
//   - call Handle with a [TimerEvent] at the time of each [TimerAction];
//   - answer each [SendAction] with exactly one [OutcomeEvent], and each [HealthCheckAction] with a
//     [HealthCheckEvent];
//   - ask [Router.AttemptStillValid] before the first byte of an attempt that waited for its connection.
//
// # Units
//
// All times and durations are microseconds on one clock that only advances. A log position is the time, on
// that clock, of the latest commit that it covers; so positions, ages and times can be compared. Shares are
// numbers from 0 to 1, rates are per second.
//
// # How a request is handled
//
//  1. A [RequestEvent] adds the request to the queue of its group (queue.go). A request of an unknown group
//     is rejected at once.
//  2. Each event that may free capacity dispatches the queue. A write goes to the group's primary
//     (primary.go). A read goes to the better of two replicas that are drawn at random among those whose log
//     position satisfies its consistency (replicas.go, sessions.go); the primary is the last resort.
//  3. A host takes the request only if it is listed and healthy and has capacity (endpoints.go, health.go,
//     admission.go, slowstart.go). Otherwise the request stays queued.
//  4. Just before the first byte is written, the attempt is checked against what has become known since the
//     decision (validity.go).
//  5. The outcome of the attempt updates the state of the host (outcome.go). It either ends the request or
//     leads to a retry (retry.go). A request that may have been executed is retried only if its
//     [RetrySafety] allows it and the retry budget has a token.
//  6. A request that no host answers gets one final action: [RejectAction] if the client can safely try
//     again, [FailAction] if the request may have been executed and a repeat could do harm. The action is
//     emitted as soon as waiting longer cannot help.
//
// Gateways of one fleet exchange what their hosts report (gossip.go). A new router can start from the state
// of another (snapshot.go).
package balance
