#ifndef TOUCANWHARF_LIB_PEERS_CALLBACK_QUEUE_H_
#define TOUCANWHARF_LIB_PEERS_CALLBACK_QUEUE_H_

namespace toucanwharf::peers {

/// Holds a reference to gRPC's callback queue until the process ends.
///
/// Guards against an abort of the process: gRPC 1.51 counts references to that
/// queue and tears it down with the last client or server of the process, where
/// its thread releases the queue once too often: "ref_counted.h: assertion
/// failed: prior > 0". A reference that is never released prevents the
/// teardown. Thread safety: safe; only the first call does any work.
void KeepCallbackQueue();

}  // namespace toucanwharf::peers

#endif  // TOUCANWHARF_LIB_PEERS_CALLBACK_QUEUE_H_
