// Handler of JSON parser events that counts and builds nothing.
#include "bronzebarrow/limits/json_limits.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/error.hpp>
#include <limits>
#include <string>

namespace bronzebarrow::limits {
namespace {

namespace json = boost::json;

constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();

/** Counts the values of a document; stops the parser at the first excess. */
class Counter {
 public:
  // The parser's own limits; sizes are bounded by that of the text.
  // NOLINTBEGIN(readability-identifier-naming): names given by basic_parser.
  static constexpr std::size_t max_object_size = kNoLimit;
  static constexpr std::size_t max_array_size = kNoLimit;
  static constexpr std::size_t max_key_size = kNoLimit;
  static constexpr std::size_t max_string_size = kNoLimit;
  // NOLINTEND(readability-identifier-naming)

  explicit Counter(const JsonLimits* limits) : m_limits(limits) {}

  /** @return the limit that was exceeded; empty if none was. */
  const std::string& excess() const { return m_excess; }

  // NOLINTBEGIN(readability-identifier-naming): names given by basic_parser.
  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_array_begin(json::error_code& error) { return Open(error); }
  bool on_array_end(std::size_t, json::error_code&) { return Close(); }
  bool on_object_begin(json::error_code& error) { return Open(error); }
  bool on_object_end(std::size_t, json::error_code&) { return Close(); }
  bool on_string_part(json::string_view, std::size_t, json::error_code&) {
    return true;
  }
  bool on_string(json::string_view, std::size_t, json::error_code& error) {
    return CountValue(error);
  }
  bool on_key_part(json::string_view part, std::size_t, json::error_code&) {
    AddToKey(part);
    return true;
  }
  bool on_key(json::string_view part, std::size_t, json::error_code&) {
    AddToKey(part);
    if (m_depth == 1) {
      m_array = FindArray();
      m_items = 0;
    }
    m_key.clear();
    return true;
  }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(std::int64_t, json::string_view, json::error_code& error) {
    return CountValue(error);
  }
  bool on_uint64(std::uint64_t, json::string_view, json::error_code& error) {
    return CountValue(error);
  }
  bool on_double(double, json::string_view, json::error_code& error) {
    return CountValue(error);
  }
  bool on_bool(bool, json::error_code& error) { return CountValue(error); }
  bool on_null(json::error_code& error) { return CountValue(error); }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)

 private:
  bool Open(json::error_code& error) {
    if (!CountValue(error)) {
      return false;
    }
    return ++m_depth <= m_limits->m_max_depth ||
           Stop(
               "more than " + std::to_string(m_limits->m_max_depth) + " levels",
               error);
  }

  bool Close() {
    --m_depth;
    return true;
  }

  bool CountValue(json::error_code& error) {
    if (++m_values > m_limits->m_max_values) {
      return Stop(
          "more than " + std::to_string(m_limits->m_max_values) + " values",
          error);
    }
    // Items of a field of the document lie two levels deep.
    if (m_depth == 2 && m_array != nullptr &&
        ++m_items > m_array->m_max_items) {
      return Stop("more than " + std::to_string(m_array->m_max_items) +
                      " items in " + std::string(m_array->m_field),
                  error);
    }
    return true;
  }

  bool Stop(std::string excess, json::error_code& error) {
    m_excess = std::move(excess);
    error = json::error::array_too_large;
    return false;
  }

  // Keeps no more of a key than tells whether it names a limited array.
  void AddToKey(json::string_view part) {
    constexpr std::size_t kMaxKeyBytes = 64;
    if (m_depth == 1 && m_key.size() <= kMaxKeyBytes) {
      m_key.append(part.data(), std::min(part.size(), kMaxKeyBytes + 1));
    }
  }

  const ArrayLimit* FindArray() const {
    for (const ArrayLimit& array : m_limits->m_arrays) {
      if (array.m_field == m_key) {
        return &array;
      }
    }
    return nullptr;
  }

  const JsonLimits* m_limits;
  std::size_t m_depth = 0;   // Of the objects and arrays that are open.
  std::size_t m_values = 0;  // Of the whole document.
  std::string m_key;
  const ArrayLimit* m_array = nullptr;  // Limit of the field that is read.
  std::size_t m_items = 0;              // Of that field.
  std::string m_excess;
};

}  // namespace

Result<void> CheckJsonLimits(std::string_view text, const JsonLimits& limits) {
  json::parse_options options;
  options.max_depth = kNoLimit;  // Counter has one.
  json::basic_parser<Counter> parser(options, &limits);
  json::error_code error;
  parser.write_some(false, text.data(), text.size(), error);
  if (!parser.handler().excess().empty()) {
    return Fail(ErrorCode::kDocumentTooComplex, parser.handler().excess());
  }
  return {};
}

}  // namespace bronzebarrow::limits
