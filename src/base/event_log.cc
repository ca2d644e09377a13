// Event lines over glog.
#include "bronzebarrow/base/event_log.h"

#include <glog/logging.h>

namespace bronzebarrow {
namespace {

bool NeedsQuotes(const std::string& value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\t\r") != std::string::npos;
}

std::string Quoted(const std::string& value) {
  std::string text = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      text += '\\';
      text += c;
    } else if (c == '\n') {
      text += "\\n";
    } else if (static_cast<unsigned char>(c) < ' ') {
      text += '?';
    } else {
      text += c;
    }
  }
  text += '"';
  return text;
}

}  // namespace

EventLine::EventLine(Event event, Severity severity)
    : m_severity(severity), m_line("event=") {
  m_line += NameOf(event);
}

EventLine::~EventLine() {
  switch (m_severity) {
    case Severity::kInfo:
      LOG(INFO) << m_line;
      break;
    case Severity::kWarning:
      LOG(WARNING) << m_line;
      break;
    case Severity::kError:
      LOG(ERROR) << m_line;
      break;
  }
}

EventLine& EventLine::Field(std::string_view key, ErrorCode code) {
  Append(key, std::string(NameOf(code)));
  return *this;
}

void EventLine::Append(std::string_view key, const std::string& value) {
  m_line += ' ';
  m_line += key;
  m_line += '=';
  m_line += NeedsQuotes(value) ? Quoted(value) : value;
}

void StartLog(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

}  // namespace bronzebarrow
