#include "greengage/core/JsonNesting.h"

using namespace greengage;

bool
greengage::IsNestedDeeper(std::string_view aText, std::size_t aMaxDepth)
{
  std::size_t depth = 0;
  bool isInString = false;
  bool isEscaped = false;
  for (const char character : aText) {
    if (isEscaped)
      isEscaped = false;
    else if (isInString && character == '\\')
      isEscaped = true;
    else if (character == '"')
      isInString = !isInString;
    else if (isInString)
      continue;
    else if (character == '[' || character == '{') {
      if (++depth > aMaxDepth)
        return true;
    } else if ((character == ']' || character == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}
