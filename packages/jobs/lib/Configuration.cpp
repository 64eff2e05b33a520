#include "greengage/jobs/Configuration.h"

#include <algorithm>

using namespace greengage;
using namespace greengage::jobs;

const Queue*
Configuration::Route(std::string_view aHostName, std::string_view aPath) const
{
  const Queue* best = nullptr;
  for (const Queue& queue : queues) {
    if (queue.hostName != aHostName ||
        aPath.substr(0, queue.pathPrefix.size()) != queue.pathPrefix)
      continue;
    if (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())
      best = &queue;
  }
  return best;
}

template<typename Item, typename Id>
static const Item*
FindIn(const std::vector<Item>& aItems, const Id& aId)
{
  const auto found =
    std::find_if(aItems.begin(), aItems.end(), [&](const Item& aItem) {
      return aItem.id == aId;
    });
  return found == aItems.end() ? nullptr : &*found;
}

const Queue*
Configuration::Find(const QueueId& aQueue) const
{
  return FindIn(queues, aQueue);
}

const Queue*
Configuration::FindAt(const QueueAddress& aAddress) const
{
  const auto found =
    std::find_if(queues.begin(), queues.end(), [&](const Queue& aQueue) {
      return aQueue.hostName == aAddress.hostName &&
             aQueue.pathPrefix == aAddress.pathPrefix;
    });
  return found == queues.end() ? nullptr : &*found;
}

const Pool*
Configuration::Find(const PoolId& aPool) const
{
  return FindIn(pools, aPool);
}

const Team*
Configuration::Find(const TeamId& aTeam) const
{
  return FindIn(teams, aTeam);
}

const Team*
Configuration::Authenticate(std::string_view aKey) const
{
  for (const Team& team : teams)
    if (std::find(team.keys.begin(), team.keys.end(), aKey) != team.keys.end())
      return &team;
  return nullptr;
}
