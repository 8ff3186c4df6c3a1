#ifndef TOUCANWHARF_LIB_PEERS_CALLBACK_QUEUE_H_
#define TOUCANWHARF_LIB_PEERS_CALLBACK_QUEUE_H_

namespace toucanwharf::peers {

/// Keeps the queue on which gRPC runs callbacks in use until the process ends.
///
/// Failure guarded against: gRPC 1.51 counts the users of that queue and tears
/// it down with the last client or server of the process, where its thread
/// drops the queue once too often: "ref_counted.h: assertion failed: prior >
/// 0", and the process aborts. With one user that never goes away it isn't torn
/// down. Thread safety: safe; costs something at the first call only.
void KeepCallbackQueue();

}  // namespace toucanwharf::peers

#endif  // TOUCANWHARF_LIB_PEERS_CALLBACK_QUEUE_H_
