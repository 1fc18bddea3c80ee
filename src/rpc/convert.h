// Conversion between the core's types and the protocol buffers of zinniamux.proto.
#ifndef ZINNIAMUX_RPC_CONVERT_H_
#define ZINNIAMUX_RPC_CONVERT_H_

#include <vector>

#include "core/dispatch_order.h"
#include "core/entry_address.h"
#include "core/executor_info.h"
#include "core/job_answer.h"
#include "core/submission.h"
#include "core/task_record.h"
#include "zinniamux.pb.h"

namespace zinniamux::rpc {

v1::TaskReference ToProto(const core::TaskKey& key);
core::TaskKey FromProto(const v1::TaskReference& reference);
std::vector<core::TaskKey> FromProto(
    const google::protobuf::RepeatedPtrField<v1::TaskReference>& references);

v1::TaskOutcome ToProto(const core::TaskOutcome& outcome);
core::TaskOutcome FromProto(v1::TaskOutcome&& outcome);
std::vector<core::TaskOutcome> FromProto(
    google::protobuf::RepeatedPtrField<v1::TaskOutcome>&& outcomes);

v1::ExecutorStatus ToProto(const core::ExecutorStatus& status);
core::ExecutorStatus FromProto(const v1::ExecutorStatus& status);

v1::Hello ToProto(const core::AgentHello& hello);
core::AgentHello FromProto(const v1::Hello& hello);

v1::EntryAddress ToProto(const core::EntryAddress& entry);
core::EntryAddress FromProto(const v1::EntryAddress& entry);

v1::Dispatch ToProto(core::DispatchOrder&& order);
core::DispatchOrder FromProto(v1::Dispatch&& dispatch);

v1::RefusalReason ToProto(core::RefusalReason reason);
// An unknown reason becomes kAlreadyStarted, the only reason that makes the receiver ask the agent
// what became of the tasks instead of assuming that they did not start.
core::RefusalReason FromProto(v1::RefusalReason reason);

v1::JobAnswer ToProto(const core::JobAnswer& answer);
core::JobAnswer FromProto(v1::JobAnswer&& answer);

v1::ForwardRequest ToProto(const core::Submission& submission, std::chrono::milliseconds time_left,
                           std::chrono::milliseconds wait);
core::Submission FromProto(v1::ForwardRequest&& request, core::TimePoint now);

}  // namespace zinniamux::rpc

#endif  // ZINNIAMUX_RPC_CONVERT_H_
