#include "greengage/jobs/Ids.h"

#include <array>
#include <charconv>
#include <cstddef>

using namespace greengage::jobs;

static constexpr std::size_t kJobIdDigits = 16;
static constexpr int kHexadecimal = 16;

std::optional<JobId>
greengage::jobs::ParseJobId(std::string_view aText)
{
  if (aText.size() != kJobIdDigits)
    return std::nullopt;
  for (const char digit : aText)
    if ((digit < '0' || digit > '9') && (digit < 'a' || digit > 'f'))
      return std::nullopt;
  std::uint64_t value = 0;
  std::from_chars(
    aText.data(), aText.data() + aText.size(), value, kHexadecimal);
  return JobId(value);
}

std::string
greengage::jobs::ToString(JobId aJob)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  static constexpr unsigned kBitsPerDigit = 4;
  std::string text(kJobIdDigits, '0');
  std::uint64_t remaining = aJob.Value();
  for (std::size_t position = kJobIdDigits; position > 0; --position) {
    text[position - 1] = kDigits[remaining & 0xFU];
    remaining >>= kBitsPerDigit;
  }
  return text;
}

StepId
greengage::jobs::StepOf(const TaskId& aTask)
{
  return { .job = aTask.job,
           .occurrence = aTask.occurrence,
           .step = aTask.step };
}

std::string
greengage::jobs::ToString(const StepId& aStep)
{
  return ToString(aStep.job) + '.' + std::to_string(aStep.occurrence) + '.' +
         std::to_string(aStep.step);
}

std::string
greengage::jobs::ToString(const TaskId& aTask)
{
  return ToString(StepOf(aTask)) + '.' + std::to_string(aTask.index);
}

std::optional<TaskId>
greengage::jobs::ParseTaskId(std::string_view aText)
{
  const auto job = ParseJobId(aText.substr(0, kJobIdDigits));
  if (!job)
    return std::nullopt;
  std::array<std::uint32_t, 3> numbers{};
  const char* position = aText.data() + kJobIdDigits;
  const char* const end = aText.data() + aText.size();
  for (std::uint32_t& number : numbers) {
    if (position == end || *position != '.')
      return std::nullopt;
    const auto result = std::from_chars(position + 1, end, number);
    if (result.ec != std::errc())
      return std::nullopt;
    position = result.ptr;
  }
  if (position != end)
    return std::nullopt;
  return TaskId{ .job = *job,
                 .occurrence = numbers[0],
                 .step = numbers[1],
                 .index = numbers[2] };
}
