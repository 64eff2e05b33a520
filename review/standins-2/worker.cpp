/// \file
/// A worker by PROTOCOL.md: sends heartbeats, starts what it is told to start,
/// keeps leases, fences and the list of ends, and records what it runs. What a
/// work unit does stands in its spec, as NAME=NUMBER separated by ';':
///   work    milliseconds of work; without it the unit lasts until it is ended
///   gang    the unit works once so many units of its step and attempt are here
///           or on other workers, and they end together
///   serves  the unit's tail in milliseconds without anything beside it
///   burden  what a unit that fills adds to each tail at full pace
/// What the worker does wrong, and when, is for the options to say.

#include "Kit.h"

#include <cmath>
#include <condition_variable>
#include <set>

using namespace kit;

namespace {

struct Options
{
  std::string id;
  std::string machine;
  std::string service;
  std::string zone;
  std::string folder;
  std::string record;
  Address address;
  std::vector<Address> controls;
  std::vector<std::string> labels;
  std::int64_t cpu = 16000;
  /// Units that are started before this many milliseconds of the worker's life
  /// end failed, each by itself, 60 ms later: the worker is at fault.
  std::int64_t failUntil = 0;
  /// What the machine's time of day is ahead, in milliseconds.
  std::int64_t clockAhead = 0;
  /// So many calls to /pace have their connection reset, and are not done.
  int resetPaces = 0;
};

constexpr std::int64_t kMaxHold = 10000;
constexpr std::int64_t kStopTime = 0;
constexpr std::int64_t kStartup = 200;
constexpr std::int64_t kGangWait = 3000;
constexpr std::int64_t kBeat = 1500;
constexpr std::size_t kMaxEnds = 500;

struct Run
{
  std::int64_t attempt = 0;
  std::map<std::string, std::int64_t> spec;
  std::int64_t startedAt = 0;
  std::int64_t worksSince = 0;
  std::int64_t stopsAt = 0;
  std::int64_t failsAt = 0;
  std::int64_t pace = 100;
};

struct End
{
  std::int64_t number = 0;
  std::string task;
  std::int64_t attempt = 0;
  std::string how;
};

class Worker
{
public:
  explicit Worker(Options aOptions)
    : options_(std::move(aOptions))
    , record_(options_.record)
    , born_(UnixMillis() + options_.clockAhead)
    , bornAt_(SteadyMillis())
  {
  }

  int Serve()
  {
    Note("up born=" + std::to_string(born_));
    const bool isOpen =
      kit::Serve(options_.address,
                 [this](const Request& aRequest) { return Handle(aRequest); });
    if (!isOpen)
      return 2;
    std::thread([this] { Work(); }).detach();
    for (std::int64_t sequence = 1;; ++sequence) {
      Beat(sequence);
      Sleep(kBeat);
    }
  }

private:
  void Note(const std::string& aWhat) { record_.Write(options_.id, aWhat); }
  /// The worker's own steady clock.
  std::int64_t Clock() const { return 100000 + SteadyMillis() - bornAt_; }

  Json Base() const { return { { "clock-ms", Clock() }, { "born", born_ } }; }
  static Response Answer(int aStatus, const Json& aBody)
  {
    return { .status = aStatus, .body = aBody.dump() };
  }
  Response Refuse(const char* aReason) const
  {
    Json body = Base();
    body["reason"] = aReason;
    return Answer(409, body);
  }

  void Beat(std::int64_t aSequence)
  {
    Json body = Base();
    body["service"] = options_.service;
    body["addr"] = options_.address.Text();
    body["machine"] = options_.machine;
    body["zone"] = options_.zone;
    body["version"] = "v1";
    body["slots"] = 8;
    body["state"] = "ready";
    body["cold-left-ms"] = 0;
    body["capacity"] = { { "cpu", options_.cpu },
                         { "mem-mb", 32768 },
                         { "gpu", 0 } };
    body["labels"] = options_.labels;
    body["seq"] = aSequence;
    for (const Address& control : options_.controls) {
      const Response response = Call(control,
                                     "POST",
                                     "/instances/" + options_.id + "/heartbeat",
                                     {},
                                     body.dump(),
                                     1000);
      if (response.status >= 200 && response.status < 300)
        return;
    }
  }

  std::optional<Response> Handle(const Request& aRequest)
  {
    if (aRequest.path == "/health")
      return Answer(200, Base());
    const auto expected = aRequest.headers.find("expect-instance");
    if (expected != aRequest.headers.end() && expected->second != options_.id)
      return Answer(421, Base());
    const Json body = Json::parse(aRequest.body, nullptr, false);
    if (!body.is_object())
      return Answer(400, Base());
    std::unique_lock lock(mutex_);
    if (aRequest.path == "/pace" && options_.resetPaces > 0) {
      --options_.resetPaces;
      Note("reset pace " + aRequest.body);
      return std::nullopt;
    }
    const std::int64_t fence = body.value("fence", std::int64_t(0));
    if (fence < fence_)
      return Refuse("fence");
    fence_ = fence;
    if (aRequest.path == "/run-start")
      return StartRun(body);
    if (aRequest.path == "/run-stop")
      return StopRun(body);
    if (aRequest.path == "/pace")
      return Pace(body);
    if (aRequest.path == "/hold")
      return Hold(body, lock);
    return Answer(404, Base());
  }

  void Extend(const Json& aBody)
  {
    if (aBody.contains("until-ms"))
      lease_ = std::max(
        lease_,
        std::min(aBody["until-ms"].get<std::int64_t>(), Clock() + kMaxHold));
  }

  Response StartRun(const Json& aBody)
  {
    const std::string task = aBody.value("task", "");
    const std::int64_t attempt = aBody.value("attempt", std::int64_t(0));
    const auto here = runs_.find(task);
    if (here != runs_.end() && here->second.attempt == attempt) {
      Extend(aBody);
      return Answer(200, Base());
    }
    const auto over = over_.find(task);
    if (over != over_.end() && attempt <= over->second) {
      Extend(aBody);
      return Refuse("old");
    }
    if (aBody.value("until-ms", std::int64_t(0)) <= Clock())
      return Refuse("late");
    Extend(aBody);
    Run run;
    run.attempt = attempt;
    std::istringstream spec(aBody.value("spec", ""));
    for (std::string item; std::getline(spec, item, ';');)
      if (const std::size_t sign = item.find('='); sign != std::string::npos)
        run.spec[item.substr(0, sign)] = std::stoll(item.substr(sign + 1));
    run.startedAt = SteadyMillis();
    if (run.spec.count("gang") == 0)
      run.worksSince = run.startedAt;
    if (run.startedAt - bornAt_ < options_.failUntil)
      run.failsAt = run.startedAt + 60;
    if (run.spec.count("gang") != 0)
      std::ofstream(GangFile(task, run) + ".here." + task) << "here";
    Note("start " + task + " attempt=" + std::to_string(attempt));
    runs_[task] = std::move(run);
    return Answer(200, Base());
  }

  Response StopRun(const Json& aBody)
  {
    const std::string task = aBody.value("task", "");
    const std::int64_t attempt = aBody.value("attempt", std::int64_t(0));
    const auto here = runs_.find(task);
    std::int64_t& over = over_[task];
    over = std::max(over, attempt);
    if (here != runs_.end() && here->second.attempt <= attempt &&
        here->second.stopsAt == 0) {
      here->second.stopsAt = SteadyMillis() + kStopTime;
      Note("stop " + task + " attempt=" + std::to_string(attempt));
    }
    return Answer(200, Base());
  }

  Response Pace(const Json& aBody)
  {
    const std::string task = aBody.value("task", "");
    const auto here = runs_.find(task);
    if (here != runs_.end() &&
        here->second.attempt == aBody.value("attempt", std::int64_t(0)))
      here->second.pace = aBody.value("percent", std::int64_t(100));
    Note("pace " + task + " percent=" +
         std::to_string(aBody.value("percent", std::int64_t(100))));
    return Answer(200, Base());
  }

  Response Hold(const Json& aBody, std::unique_lock<std::mutex>& aLock)
  {
    Extend(aBody);
    const std::int64_t seen = aBody.value("last-seen", std::int64_t(0));
    if (seen > seen_) {
      seen_ = seen;
      Note("seen " + std::to_string(seen));
    }
    std::erase_if(ends_, [&](const End& aEnd) { return aEnd.number <= seen_; });
    const std::int64_t wait =
      std::min<std::int64_t>(aBody.value("wait-ms", std::int64_t(0)), 2000);
    const std::int64_t last = lastEnd_;
    if (wait > 0 && ends_.empty())
      ended_.wait_for(aLock, std::chrono::milliseconds(wait), [&] {
        return lastEnd_ != last;
      });
    Json body = Base();
    body["running"] = Json::array();
    for (const auto& [task, run] : runs_)
      body["running"].push_back(
        Json::array({ task, run.attempt, "", Percent(run), Load(run) }));
    body["finished"] = Json::array();
    for (const End& end : ends_)
      if (body["finished"].size() < kMaxEnds)
        body["finished"].push_back(
          Json::array({ end.number, end.task, end.attempt, end.how, "" }));
    return Answer(200, body);
  }

  static std::int64_t Percent(const Run& aRun)
  {
    const std::int64_t age = SteadyMillis() - aRun.startedAt;
    const auto work = aRun.spec.find("work");
    if (work == aRun.spec.end())
      return age >= kStartup ? 100 : 0;
    if (aRun.worksSince == 0)
      return 0;
    return std::min<std::int64_t>(
      99, (SteadyMillis() - aRun.worksSince) * 100 / work->second);
  }

  /// The tail of a unit that serves; the processors of another one.
  std::int64_t Load(const Run& aRun) const
  {
    const auto serves = aRun.spec.find("serves");
    if (serves == aRun.spec.end())
      return 1000;
    return serves->second + Burden();
  }

  std::int64_t Burden() const
  {
    std::int64_t burden = 0;
    for (const auto& [task, run] : runs_)
      if (const auto found = run.spec.find("burden"); found != run.spec.end())
        burden += found->second * run.pace / 100;
    return burden;
  }

  /// The members of a gang meet by files in the folder of the test.
  std::string GangFile(const std::string& aTask, const Run& aRun) const
  {
    return options_.folder + "/gang." + aTask.substr(0, aTask.rfind('.')) +
           "-" + std::to_string(aRun.attempt);
  }

  std::size_t MembersHere(const std::string& aGang) const
  {
    std::size_t count = 0;
    const std::string prefix =
      std::filesystem::path(aGang).filename().string() + ".here.";
    for (const auto& entry :
         std::filesystem::directory_iterator(options_.folder))
      count += entry.path().filename().string().rfind(prefix, 0) == 0 ? 1 : 0;
    return count;
  }

  void Finish(const std::string& aTask, const Run& aRun, const char* aHow)
  {
    ends_.push_back({ .number = ++lastEnd_,
                      .task = aTask,
                      .attempt = aRun.attempt,
                      .how = aHow });
    std::int64_t& over = over_[aTask];
    over = std::max(over, aRun.attempt);
    if (aRun.spec.count("gang") != 0)
      std::ofstream(GangFile(aTask, aRun) + ".ended") << aHow;
    Note("end " + aTask + " attempt=" + std::to_string(aRun.attempt) + " " +
         aHow + " number=" + std::to_string(lastEnd_));
    ended_.notify_all();
  }

  const char* OutcomeOf(const std::string& aTask, Run& aRun)
  {
    const std::int64_t now = SteadyMillis();
    if (Clock() > lease_)
      return "lapsed";
    if (aRun.stopsAt != 0 && now >= aRun.stopsAt)
      return "stopped";
    if (aRun.failsAt != 0 && now >= aRun.failsAt)
      return "failed";
    if (const auto gang = aRun.spec.find("gang"); gang != aRun.spec.end()) {
      const std::string file = GangFile(aTask, aRun);
      std::ifstream ended(file + ".ended");
      // That another member ended takes a while to be known here.
      if (std::string how; ended >> how) {
        if (aRun.stopsAt == 0 && aRun.failsAt == 0)
          return how == "done" ? "done" : "broken";
      } else if (aRun.worksSince == 0) {
        if (MembersHere(file) >= static_cast<std::size_t>(gang->second))
          aRun.worksSince = now;
        else if (now - aRun.startedAt > kGangWait)
          return "alone";
      }
    }
    const auto work = aRun.spec.find("work");
    const bool isDone = work != aRun.spec.end() && aRun.worksSince != 0 &&
                        now - aRun.worksSince >= work->second;
    return isDone ? "done" : nullptr;
  }

  void Work()
  {
    std::string last;
    for (;;) {
      Sleep(10);
      const std::lock_guard lock(mutex_);
      for (auto it = runs_.begin(); it != runs_.end();) {
        const char* how = OutcomeOf(it->first, it->second);
        if (how == nullptr) {
          ++it;
          continue;
        }
        const std::string task = it->first;
        const Run run = it->second;
        it = runs_.erase(it);
        Finish(task, run, how);
      }
      NoteTails(last);
    }
  }

  /// Records each change of what units that serve feel.
  void NoteTails(std::string& aLast)
  {
    std::string now;
    for (const auto& [task, run] : runs_)
      if (run.spec.count("serves") != 0)
        now += " " + task + " tail=" + std::to_string(Load(run)) +
               " alone=" + std::to_string(Load(run) - Burden());
    if (now != aLast)
      Note("tails" + now);
    aLast = now;
  }

  Options options_;
  Record record_;
  std::int64_t born_;
  std::int64_t bornAt_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::int64_t fence_ = 0;
  std::int64_t lease_ = 0;
  std::map<std::string, Run> runs_;
  /// The highest attempt that was stopped or has ended here.
  std::map<std::string, std::int64_t> over_;
  std::vector<End> ends_;
  std::int64_t lastEnd_ = 0;
  std::int64_t seen_ = 0;
};

std::vector<std::string>
Split(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream text(aText);
  for (std::string part; std::getline(text, part, ',');)
    parts.push_back(part);
  return parts;
}

} // namespace

/// worker ID MACHINE SERVICE ZONE ADDRESS CONTROLS LABELS FOLDER RECORD
/// [NAME=NUMBER...]
int
main(int aCount, char** aWords)
{
  signal(SIGPIPE, SIG_IGN);
  if (aCount < 10)
    return 2;
  Options options;
  options.id = aWords[1];
  options.machine = aWords[2];
  options.service = aWords[3];
  options.zone = aWords[4];
  options.address = ParseAddress(aWords[5]);
  for (const std::string& control : Split(aWords[6]))
    options.controls.push_back(ParseAddress(control));
  options.labels = Split(aWords[7]);
  options.folder = aWords[8];
  options.record = aWords[9];
  for (int index = 10; index < aCount; ++index) {
    const std::string word = aWords[index];
    const std::size_t sign = word.find('=');
    const std::string name = word.substr(0, sign);
    const std::int64_t number = std::stoll(word.substr(sign + 1));
    if (name == "cpu")
      options.cpu = number;
    else if (name == "fail-until")
      options.failUntil = number;
    else if (name == "clock-ahead")
      options.clockAhead = number;
    else if (name == "reset-paces")
      options.resetPaces = static_cast<int>(number);
    else
      return 2;
  }
  return Worker(std::move(options)).Serve();
}
