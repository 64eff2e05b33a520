#include "greengage/core/Request.h"

const char*
greengage::NameOf(PriceClass aClass)
{
  switch (aClass) {
    case PriceClass::Urgent:
      return "urgent";
    case PriceClass::Standard:
      return "standard";
    case PriceClass::Patient:
      break;
  }
  return "patient";
}
