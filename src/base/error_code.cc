// Human-readable messages, indexed by ErrorCode.
#include "bronzebarrow/base/error_code.h"

namespace bronzebarrow {
namespace {

constexpr std::array<std::string_view, EnumNames<ErrorCode>::kNames.size()>
    kMessages = {
        "success",
        "the settings file cannot be read",
        "the settings file is not well-formed INI",
        "the settings file is cut short",
        "the key is not known here",
        "a required key is missing",
        "the value is outside its range or of the wrong type",
        "the command line is wrong",
        "the list is not well-formed",
        "the list holds a key that is not known",
        "the list lacks a required key",
        "the list holds a value that is not allowed",
        "the list names a plan that is not defined",
        "the data folder cannot be used",
        "the data folder belongs to another member",
        "the data folder is in use by another process",
        "the data folder is not empty",
        "the log is damaged before its end",
        "a write to disk failed",
        "a frame is larger than allowed",
        "a frame failed verification",
        "the connection failed",
        "the address is not host:port with a numeric host",
        "the address cannot be listened on",
        "another change came first",
        "the change id was used with other content",
        "this member is not the leader",
        "no control quorum can be reached",
        "the instance is not known",
        "the instance is not in service",
        "the stop is not known",
        "the stop id was used with other content",
        "a stop of this instance is already in progress",
        "the step would take a plan below its availability budget",
        "the wave is not known",
        "the wave id was used with other content",
        "a wave over this pool is already in progress",
        "the wave has ended",
        "the pool is not known",
        "the request is malformed",
        "the request is larger than allowed",
        "the document holds more than allowed",
        "the request names no plan",
        "the plan is not defined",
        "the deadline is missing or not a positive number of milliseconds",
        "a request that is not idempotent needs an Idempotency-Key",
        "the Idempotency-Key is not a version 7 UUID with a current time",
        "the Idempotency-Key was used for a different request",
        "the Idempotency-Key is older than the retention",
        "this entry holds no configuration lease",
        "the plan's quota is used up",
        "the queue is full",
        "the deadline passed",
        "no target of the pool is in service",
        "the process is shutting down",
        "the target cannot be reached",
        "the target's answer was cut short or malformed",
        "the target did not answer in time",
        "the request is being run by another attempt",
        "the ledger holds as many keys as it may",
        "the runner's report about itself cannot be used",
        "an internal error",
};

}  // namespace

std::string_view MessageOf(ErrorCode code) {
  const auto index = static_cast<std::size_t>(code);
  return index < kMessages.size() ? kMessages[index] : "unknown error";
}

}  // namespace bronzebarrow
