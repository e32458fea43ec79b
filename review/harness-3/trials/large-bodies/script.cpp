// Trial: callers with large bodies end a VM, and with it the postings of others.

#include "review/harness-3/harness.h"
#include "review/harness-3/replica.h"

#include <cstdlib>
#include <set>

#include <unistd.h>

namespace {

using namespace review3;

constexpr const char *Host = "desk.example";
constexpr const char *Configuration = R"({"version":1,"routes":[{"name":"r-dialogue",
"host":"desk.example","prefix":"/dialogue/","kind":"streaming","timeoutMs":4000,
"targetLatencyMs":250,"priority":0,"service":"desk-llm","maxAttempts":2,"retainContext":true,
"keepS":60.0,"sticky":true,"resumable":false,"gapAimMs":300},{"name":"r-posting",
"host":"desk.example","prefix":"/posting/","kind":"non_idempotent","timeoutMs":1500,
"targetLatencyMs":150,"priority":2,"service":"desk-app","maxAttempts":1,"sticky":false}],
"services":[{"name":"desk-llm","healthPath":"/healthz","maxConns":210,"protocol":"h1",
"tls":false,"engine":{"slots":24,"kvTokens":657246,"kvTokenBytes":163840,"linkMbps":1400000.0,
"moves":true,"backups":true,"tokensPerEvent":20,"most":12,"pinMs":4000.0,"holdMs":2000.0,
"handle_s":5.0,"models":[{"name":"m"}]}},{"name":"desk-app","healthPath":"/healthz",
"maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

constexpr std::size_t Vms = 3;
constexpr std::int64_t MemoryMb = 140;
constexpr std::size_t LargeBodyBytes = 4'194'304;
/** Callers with large bodies at each VM, and the same with TROUBLE=0. */
constexpr int LargeCallers = 10;
constexpr int FewLargeCallers = 2;
constexpr int Posters = 4;
constexpr int Events = 10;
constexpr Millis EventTime{50};
constexpr Millis PostingTime{100};
constexpr Millis TurnDeadline{4'000};
constexpr Millis PostingDeadline{1'500};
constexpr Millis Calm{5'000};
constexpr Millis Duration{20'000};
constexpr Millis WatchInterval{20};
constexpr Millis RestartDelay{1'000};
/** Postings from kept channels whose channel may end without an answer. */
constexpr int AllowedLost = 3;

struct Case
{
    Case(asio::io_context &io, const std::string &recordPath)
        : context(io)
        , record(recordPath)
        , store(io, {network + "250", 8'142})
    { }

    asio::io_context &context;
    std::string network = loopbackNetwork();
    Record record;
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::set<std::string> reached;
    std::vector<int> ends = std::vector<int>(Vms);
    std::vector<std::int64_t> mostMemory = std::vector<std::int64_t>(Vms);
    int posted = 0;
    int lost = 0;
    int turns = 0;
    int nextId = 1;
    int busy = 0;
    bool isOver = false;
};

asio::awaitable<bool> runAtReplica(Case &test, Replica &replica, Socket socket, Request request)
{
    test.reached.insert(field(request, "Attempt-Id"));
    if (replica.facts().service == "desk-app") {
        co_await sleepFor(PostingTime);
        const std::string answer = replica.answer(request, "posted");
        co_return co_await writeAll(socket, answer);
    }
    const std::string head = replica.head(200, request)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    bool isOpen = co_await writeAll(socket, head);
    for (int id = 1; isOpen && id <= Events; ++id) {
        co_await sleepFor(EventTime);
        const std::string event =
            "id: " + std::to_string(id) + "\ndata: word " + std::to_string(id) + "\n\n";
        std::ostringstream chunk;
        chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
        const std::string bytes = chunk.str();
        isOpen = co_await writeAll(socket, bytes);
    }
    const std::string end = "0\r\n\r\n";
    co_return isOpen &&co_await writeAll(socket, end);
}

/** Bytes of memory that a process has now; 0 if that can't be read. */
std::int64_t memoryOf(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    file >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

/** The platform's part: a process that exceeds memoryMb is killed, and started again. */
asio::awaitable<void> watchMemory(Case &test, Fleet &fleet, std::size_t vm)
{
    test.busy += 1;
    while (!test.isOver) {
        co_await sleepFor(WatchInterval);
        const std::int64_t memory = memoryOf(fleet.process(vm)) / 1'048'576;
        test.mostMemory[vm] = std::max(test.mostMemory[vm], memory);
        if (memory > MemoryMb) {
            test.record.line("vm " + std::to_string(vm + 1) + " has " + number(memory) + " MB");
            test.ends[vm] += 1;
            fleet.kill(vm);
            co_await sleepFor(RestartDelay);
            fleet.start(vm);
        }
    }
    test.busy -= 1;
}

asio::awaitable<void> sendLarge(Case &test, Fleet &fleet, std::size_t vm)
{
    test.busy += 1;
    while (!test.isOver) {
        const std::string host = Host;
        const std::string id = "t" + std::to_string(test.nextId++);
        const Address front = fleet.front(vm);
        Attempt attempt;
        attempt.method = "POST";
        attempt.target = "/dialogue/transfer";
        attempt.body = std::string(LargeBodyBytes, 'x');
        attempt.deadline = TurnDeadline;
        attempt.fields = {{"Program-Id", "p" + id},
                          {"Session-Id", "p" + id + "-line"},
                          {"Program-Deadline-Ms", "20000"},
                          {"Token-Budget", "4640"},
                          {"Token-Usage", "840,580"},
                          {"Model", "m"},
                          {"Prompt-Prefix", "5c1e07a2:300,e4402b7d:540"}};
        const Answer answer = co_await request(front, host, id, attempt);
        test.turns += answer.status == 200 && answer.complete ? 1 : 0;
        test.record.line("answer " + id + " by vm " + std::to_string(vm + 1) + " "
                         + number(answer.status) + (answer.complete ? "" : ", broken off"));
        co_await sleepFor(Millis(200));
    }
    test.busy -= 1;
}

/** What became of a posting. */
enum class Outcome {
    Answered,
    Closed, ///< Its channel ended without an answer.
    TimedOut,
};

/** Sends one posting on a channel. */
asio::awaitable<Outcome> post(beast::tcp_stream &stream, std::string id)
{
    Request message;
    message.version(11);
    message.method(http::verb::post);
    message.target("/posting/entry");
    message.set("Host", Host);
    message.set("Attempt-Id", id);
    message.set("Deadline-Ms", number(PostingDeadline.count()));
    message.body() = "one share";
    message.prepare_payload();
    beast::error_code error;
    stream.expires_after(PostingDeadline + Millis(500));
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return error == beast::error::timeout ? Outcome::TimedOut : Outcome::Closed;
    }
    beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    co_await http::async_read(stream, buffer, answer,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error == beast::error::timeout) {
        co_return Outcome::TimedOut;
    }
    co_return error ? Outcome::Closed : Outcome::Answered;
}

/** A requester that keeps its channel for many postings. */
asio::awaitable<void> keepPosting(Case &test, Fleet &fleet, std::size_t vm)
{
    test.busy += 1;
    while (!test.isOver) {
        beast::tcp_stream stream(test.context);
        beast::error_code error;
        const Address front = fleet.front(vm);
        stream.expires_after(Millis(1'000));
        co_await stream.async_connect(front.endpoint(),
                                      asio::redirect_error(asio::use_awaitable, error));
        bool isKept = false;
        while (!error && !test.isOver) {
            const std::string id = "n" + std::to_string(test.nextId++);
            const Outcome outcome = co_await post(stream, id);
            test.posted += 1;
            if (outcome != Outcome::Answered) {
                const bool isLost =
                    outcome == Outcome::Closed && isKept && test.reached.contains(id);
                test.lost += isLost ? 1 : 0;
                test.record.line("posting " + id + " at vm " + std::to_string(vm + 1)
                                 + " got no answer" + (isLost ? ", a replica ran it" : ""));
                break;
            }
            isKept = true;
        }
        co_await sleepFor(Millis(100));
    }
    test.busy -= 1;
}

void addReplicas(Case &test, const std::string &service, int count, int slots)
{
    for (int index = 1; index <= count; ++index) {
        const int number = static_cast<int>(test.replicas.size()) + 1;
        const Address address{test.network + std::to_string(100 + number), 8'080};
        const ReplicaFacts facts{"i-" + std::to_string(number), service, "v1", slots};
        test.replicas.push_back(std::make_unique<Replica>(
            test.context, test.store, facts, address,
            [&test](Replica &replica, Socket socket, const Request &request) {
                return runAtReplica(test, replica, socket, request);
            }));
        test.replicas.back()->start();
    }
}

asio::awaitable<int> run(Case &test)
{
    TemporaryFolder folder;
    Deployment deployment;
    deployment.folder = folder.path();
    deployment.store = test.store.address();
    deployment.memoryMb = MemoryMb;
    for (std::size_t vm = 0; vm < Vms; ++vm) {
        deployment.ips.push_back(test.network + std::to_string(11 + vm));
    }
    test.store.put("op", "config", Configuration);
    addReplicas(test, "desk-llm", 4, 24);
    addReplicas(test, "desk-app", 3, 6);
    Fleet fleet(deployment, test.record);
    for (std::size_t vm = 0; vm < Vms; ++vm) {
        fleet.start(vm);
    }
    if (!co_await fleet.waitUntilReady(Millis(10'000))) {
        co_return ExitCouldNotRun;
    }
    co_await sleepFor(Calm);
    const int largeCallers = hasTrouble() ? LargeCallers : FewLargeCallers;
    for (std::size_t vm = 0; vm < Vms; ++vm) {
        asio::co_spawn(test.context, watchMemory(test, fleet, vm), asio::detached);
        for (int index = 0; index < Posters; ++index) {
            asio::co_spawn(test.context, keepPosting(test, fleet, vm), asio::detached);
        }
        for (int index = 0; index < largeCallers; ++index) {
            asio::co_spawn(test.context, sendLarge(test, fleet, vm), asio::detached);
        }
    }
    co_await sleepFor(Duration);
    test.isOver = true;
    while (test.busy > 0) {
        co_await sleepFor(Millis(50));
    }
    std::string ends;
    for (std::size_t vm = 0; vm < Vms; ++vm) {
        ends += " " + number(test.ends[vm]) + " (" + number(test.mostMemory[vm]) + " MB)";
    }
    test.record.line("ends of the VMs for their memory:" + ends + "; large turns answered "
                     + number(test.turns) + "; postings from kept channels that a replica ran and "
                     + "that got no answer: " + number(test.lost) + " of " + number(test.posted)
                     + ", allowed " + number(AllowedLost));
    co_return test.lost > AllowedLost ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    asio::io_context context{1};
    Case test(context, argc > 1 ? argv[1] : "record.txt");
    return runCase(context, run(test));
}
