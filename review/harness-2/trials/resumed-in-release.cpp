// Streams that began before a release began can't be taken up at other VMs.

#include "../harness.h"

#include <algorithm>
#include <iostream>

using namespace review;

namespace {

constexpr std::size_t Streams = 30;
constexpr int MemoryMegabytes = 140;
constexpr Millis EventPause{250};
constexpr int LastEvent = 12;
constexpr Millis Deadline{4'000};
/** The registry has been followed for so long that a single version counts as certain. */
constexpr Millis CalmTime{17'000};
constexpr Millis ReleaseAfter{500};
constexpr Millis KillAfter{1'600};
constexpr Millis ResumeAfter{100};
constexpr Millis RestartDelay{1'000};
constexpr int NewStreams = 3;
/** The rule takes so many streams that are taken up. */
constexpr int StreamsOfRule = 12;

const char *const Configuration = R"({"version":1,"routes":[
 {"name":"r-read","host":"front.example","prefix":"/read/","kind":"streaming","timeoutMs":4000,
  "targetLatencyMs":250,"priority":0,"service":"llm","maxAttempts":2,"retainContext":false,
  "keepS":60.0,"sticky":true,"resumable":true,"gapAimMs":300}],
 "services":[{"name":"llm","healthPath":"/healthz","maxConns":180,"protocol":"h1","tls":false,
  "engine":{"slots":16,"kvTokens":400000,"tokensPerEvent":20,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000}})";

bool answerStream(Replica &replica, const Message &request, Connection &connection)
{
    const std::string last = request.header("Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    bool isOpen = connection.send(replica.streamHead(request));
    for (int id = first; isOpen && id <= LastEvent; ++id) {
        sleepFor(EventPause);
        isOpen = !connection.isClosed()
            && connection.send(eventChunk(id, "by " + replica.entry().version));
    }
    return isOpen && connection.send(LastChunk);
}

int eventsOf(const Message &reply)
{
    const std::string data = eventData(reply.body);
    return static_cast<int>(std::count(data.begin(), data.end(), '\n'));
}

int play(Case &run)
{
    Store store(run.address(1), Ports::Store);
    store.put("op", "config", Configuration);
    Runs runs;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int number = 1; number <= 4; ++number) {
        const ReplicaEntry entry{"i-" + std::to_string(number), "llm", run.address(30 + number),
                                 Ports::Replica};
        replicas.push_back(std::make_unique<Replica>(entry, store, runs, answerStream));
    }
    Fleet fleet(run.temporaryFolder(), {run.address(11), run.address(12), run.address(13)},
                run.address(1) + ":" + std::to_string(Ports::Store), MemoryMegabytes);
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        fleet.start(vm);
    }
    if (!fleet.waitUntilReady()) {
        return CouldNotRun;
    }
    sleepFor(CalmTime);
    std::atomic<int> resumed = 0;
    std::atomic<int> wentOn = 0;
    std::vector<std::thread> callers;
    const Clock::time_point begin = Clock::now();
    for (std::size_t number = 0; number < Streams; ++number) {
        callers.emplace_back([&, number] {
            const std::string attempt = run.newId();
            const std::string program = run.newId();
            const Message reply = exchange(fleet.address(0), Ports::Front,
                                           turn("/read/", attempt, program, "a prompt"), Deadline);
            const int events = eventsOf(reply);
            run.record().write("stream " + attempt + " at VM 1 -> " + std::to_string(reply.status)
                               + " " + std::to_string(events) + " events "
                               + (reply.complete ? "whole" : reply.problem));
            if (reply.complete || events == 0) {
                return;
            }
            sleepFor(ResumeAfter);
            Message again = turn("/read/", run.newId(), program, "a prompt");
            again.fields.push_back({"Last-Event-Id", std::to_string(events)});
            again.fields.push_back({"Resumes", attempt});
            const Message rest =
                exchange(fleet.address(1 + number % 2), Ports::Front, again, Deadline);
            resumed += 1;
            wentOn += rest.status == 200 && eventsOf(rest) > 0 ? 1 : 0;
            run.record().write("taken up at VM " + std::to_string(2 + number % 2) + " -> "
                               + std::to_string(rest.status) + " " + std::to_string(eventsOf(rest))
                               + " events");
        });
    }
    std::this_thread::sleep_until(begin + ReleaseAfter);
    const ReplicaEntry newEntry{"i-5", "llm", run.address(35), Ports::Replica, "v2"};
    replicas.push_back(std::make_unique<Replica>(newEntry, store, runs, answerStream));
    run.record().write("a replica of version v2 registers itself");
    std::this_thread::sleep_until(begin + KillAfter);
    if (run.hasTrouble()) {
        fleet.kill(0);
        run.record().write("the process of VM 1 is killed");
        sleepFor(RestartDelay);
        fleet.start(0);
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    int begun = 0;
    for (int number = 0; number < NewStreams; ++number) {
        const Message reply = exchange(fleet.address(1), Ports::Front,
                                       turn("/read/", run.newId(), run.newId(), "new"), Deadline);
        begun += eventsOf(reply) > 0 ? 1 : 0;
    }
    run.record().write(std::to_string(wentOn) + " of " + std::to_string(resumed)
                       + " streams went on; new ones " + std::to_string(begun) + " of "
                       + std::to_string(NewStreams));
    const bool isBroken = resumed >= StreamsOfRule && 2 * wentOn * NewStreams < resumed * begun;
    return isBroken ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        Case run(argc, argv);
        return play(run);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return CouldNotRun;
    }
}
