// Writes event lines to standard output, rate-limited and without blocking.
// Programs that did not call StartLog write them to glog.
#include "bronzebarrow/base/event_log.h"

#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <mutex>

#include "bronzebarrow/base/time.h"

namespace bronzebarrow {
namespace {

// Rate limit of each event. Further lines of the same second are only counted,
// so that an event storm does not consume processor time or disk space.
constexpr std::uint32_t kMaxLinesPerSecond = 400;
// Buffer limit while standard output is not read; further lines are only
// counted.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;
// Largest write that does not block on a pipe that polls as writable
// (PIPE_BUF).
constexpr std::size_t kMaxWriteBytes = 4096;
constexpr std::array<char, 3> kSeverityLetters = {'I', 'W', 'E'};

/** Rate limiter and write buffer of standard output; thread-safe. */
class LogSink {
 public:
  static LogSink& Global() {
    static LogSink sink;
    return sink;
  }

  void Start() {
    const std::lock_guard lock(m_mutex);
    m_started = true;
  }

  void SetBatching(bool batching) {
    const std::lock_guard lock(m_mutex);
    m_batching = batching;
  }

  /**
   * Applies the rate limit, from which errors are exempt.
   * @return whether to build the line; if not, it is counted as dropped.
   */
  bool Admit(Event event, Severity severity) {
    const std::lock_guard lock(m_mutex);
    if (!m_started) {
      return true;
    }
    RateWindow& window = m_rate_windows.at(static_cast<std::size_t>(event));
    const std::uint64_t second = WallMillis() / 1000;
    if (window.m_second != second) {
      window = {second, 0};
    }
    const bool admitted =
        ++window.m_lines <= kMaxLinesPerSecond || severity == Severity::kError;
    m_dropped_lines += admitted ? 0 : 1;
    return admitted;
  }

  /**
   * Buffers a line, or counts it as dropped when the buffer is full.
   * @return false when the log was not started.
   */
  bool AppendLine(Severity severity, const std::string& line) {
    const std::lock_guard lock(m_mutex);
    if (!m_started) {
      return false;
    }
    const std::uint64_t now_ms = WallMillis();
    if (m_buffer.size() + line.size() > kMaxBufferedBytes) {
      ++m_dropped_lines;
      return true;
    }
    AppendTime(now_ms);
    m_buffer += kSeverityLetters.at(static_cast<std::size_t>(severity));
    m_buffer += ' ';
    m_buffer += line;
    if (m_dropped_lines > 0) {
      m_buffer += " lines_dropped_before=" + std::to_string(m_dropped_lines);
      m_dropped_lines = 0;
    }
    m_buffer += '\n';
    if (!m_batching || severity == Severity::kError ||
        m_buffer.size() >= kMaxWriteBytes) {
      WriteBuffered();
    }
    return true;
  }

  void Flush() {
    const std::lock_guard lock(m_mutex);
    WriteBuffered();
  }

 private:
  struct RateWindow {
    std::uint64_t m_second = 0;
    std::uint32_t m_lines = 0;
  };

  void AppendTime(std::uint64_t now_ms) {
    const auto seconds = static_cast<std::time_t>(now_ms / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%02d:%02d:%02d.%03d ",
                  parts.tm_hour, parts.tm_min, parts.tm_sec,
                  static_cast<int>(now_ms % 1000));
    m_buffer += text.data();
  }

  void WriteBuffered() {
    std::size_t offset = 0;
    while (offset < m_buffer.size()) {
      pollfd output = {STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&output, 1, 0) <= 0) {
        break;
      }
      const std::size_t size =
          std::min(kMaxWriteBytes, m_buffer.size() - offset);
      const ssize_t written =
          ::write(STDOUT_FILENO, m_buffer.data() + offset, size);
      if (written <= 0) {
        offset = m_buffer.size();  // Output error: discards the buffered lines.
        break;
      }
      offset += static_cast<std::size_t>(written);
    }
    m_buffer.erase(0, offset);
  }

  // Guards all members. No other lock is taken under it.
  std::mutex m_mutex;
  std::string m_buffer;
  std::array<RateWindow, EnumNames<Event>::kNames.size()> m_rate_windows;
  // Lines dropped since the last buffered one.
  std::uint64_t m_dropped_lines = 0;
  bool m_started = false;
  bool m_batching = false;
};

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\t\r") != std::string_view::npos;
}

std::string Quoted(std::string_view value) {
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
    : m_event(event),
      m_severity(severity),
      m_admitted(LogSink::Global().Admit(event, severity)) {
  if (m_admitted) {
    m_line = "event=";
    m_line += NameOf(event);
  }
}

EventLine::~EventLine() {
  if (!m_admitted || LogSink::Global().AppendLine(m_severity, m_line)) {
    return;
  }
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

void EventLine::Append(std::string_view key, std::string_view value) {
  if (!m_admitted) {
    return;
  }
  m_line += ' ';
  m_line += key;
  m_line += '=';
  if (NeedsQuotes(value)) {
    m_line += Quoted(value);
  } else {
    m_line += value;
  }
}

void StartLog(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
  LogSink::Global().Start();
  std::atexit([] { LogSink::Global().Flush(); });
}

void SetLogBatching(bool batching) { LogSink::Global().SetBatching(batching); }

void FlushLog() { LogSink::Global().Flush(); }

}  // namespace bronzebarrow
