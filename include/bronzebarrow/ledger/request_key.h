// Idempotency keys: version 7 UUIDs (RFC 9562), which contain their issue time.
#ifndef BRONZEBARROW_LEDGER_REQUEST_KEY_H_
#define BRONZEBARROW_LEDGER_REQUEST_KEY_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace bronzebarrow::ledger {

/** @return the issue time in Unix milliseconds; nothing if malformed. */
std::optional<std::uint64_t> ParseIssueTimeMs(std::string_view key);

/** @return a new key with the issue time `now_ms`, in Unix milliseconds. */
std::string MakeKey(std::uint64_t now_ms, std::mt19937_64& random);

}  // namespace bronzebarrow::ledger

#endif  // BRONZEBARROW_LEDGER_REQUEST_KEY_H_
