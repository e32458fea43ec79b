// The datagrams between the VMs of one deployment. Encoded with the compact
// protocol; a datagram holds one Envelope behind an authentication code.
namespace cpp boragepath.peers

// What one VM tells of another that it suspects to be gone.
struct Suspicion {
    1: string vm;
    2: i64 fence;
}

// Load of one replica, as its gatekeeper sees it.
struct ReplicaLoad {
    1: string replica;
    2: i32 running;
    3: i32 waiting;
    // Grows with each statement of the same gatekeeper.
    4: i64 version;
    // The replica has said that it is leaving.
    5: bool leaving;
}

// Liveness probe; the answer is the same struct with answer set.
struct Probe {
    1: bool answer;
    2: i64 sequence;
    3: i64 catalogueRevision;
    // Revision of the newest membership or shard row that the sender knows.
    4: i64 placementRevision;
    // The sender may not renew its lease at present.
    5: bool leaseless;
    6: list<Suspicion> suspicions;
    7: list<ReplicaLoad> loads;
    // Age of the newest table read behind catalogueRevision, in milliseconds.
    8: i32 catalogueAgeMillis;
}

// An owner asks a gatekeeper for a place at a replica.
struct PermitRequest {
    1: i64 permit;
    2: string replica;
    // 0 is the class that goes first.
    3: i16 serviceClass;
    // Service that the whole program tree has had, in milliseconds.
    4: i64 attainedMillis;
    // Time until the program misses its objective; may be negative.
    5: i64 slackMillis;
    // Time that the call has waited elsewhere, in milliseconds.
    6: i64 waitedMillis;
    // The program has had an answer before.
    7: bool started;
    // The asker holds the permit already and refreshes it.
    8: bool held;
}

enum PermitOutcome {
    GRANTED = 0,
    QUEUED = 1,
    REFUSED = 2,
    // The permit is not known, or this VM is not the gatekeeper.
    UNKNOWN = 3,
}

struct PermitAnswer {
    1: i64 permit;
    2: string replica;
    3: PermitOutcome outcome;
    4: i32 running;
    5: i32 waiting;
    6: i64 retryAfterMillis;
}

// Gives a permit back, or withdraws its request.
struct PermitRelease {
    1: i64 permit;
    2: string replica;
}

struct PermitReleased {
    1: i64 permit;
    2: string replica;
}

// A gatekeeper found programs in a replica's memory and asks their owner
// whether they are still under way. The owner releases those that are not.
struct HeldPrograms {
    1: string replica;
    // "entry/program" each.
    2: list<string> programs;
}

// What the sender knows of one VM that callers connect to.
struct VmNews {
    1: string vm;
    // Where callers connect, "address:port".
    2: string front;
    // Where this VM receives datagrams, "address:port".
    3: string peers;
    4: string zone;
    // Calendar time of the process's start in milliseconds; the newest one counts.
    5: i64 incarnation;
    // Time since this incarnation itself was last heard of, in milliseconds.
    6: i32 ageMillis;
    // It is stopping and must not be handed out to callers.
    7: bool leaving;
    // It has no configuration yet and must not be handed out to callers.
    8: bool starting;
    // The store does not answer it.
    9: bool storeAway;
}

// What the sender last read from the operator and the replicas, as it was read.
struct RegistryCopy {
    1: string configuration;
    // By the names of the replicas.
    2: map<string, string> registrations;
}

enum LedgerNoteKind {
    RESERVE = 0,
    SETTLE = 1,
    ANSWER = 2,
}

enum LedgerOutcome {
    // The note has arrived and is being worked on.
    TAKEN = 0,
    GRANTED = 1,
    SPENT = 2,
    // The store did not answer in time.
    AWAY = 3,
}

// A change of a program's token budget, or the answer to one.
struct LedgerNote {
    // Chosen by the VM that asks; its answers carry the same.
    1: i64 id;
    2: LedgerNoteKind kind;
    3: string program;
    4: string turn;
    // Tokens that all turns of the program may hand out.
    5: i64 budget;
    // The most that the turn hands out, or what it did hand out.
    6: i64 tokens;
    // The asker needs the answer within this time.
    7: i32 patienceMillis;
    8: LedgerOutcome outcome;
    // One line of turns within the program.
    9: string session;
    // The replica that last read the prompt of that line, if it is known.
    10: string replica;
}

// One datagram.
struct Envelope {
    1: string vm;
    2: i64 fence;
    3: optional Probe probe;
    4: optional list<PermitRequest> permitRequests;
    5: optional list<PermitAnswer> permitAnswers;
    6: optional list<PermitRelease> permitReleases;
    7: optional list<PermitReleased> permitsReleased;
    8: optional HeldPrograms heldPrograms;
    9: optional list<VmNews> vmNews;
    // The receiver is asked to send what it knows.
    10: optional bool wantsNews;
    11: optional LedgerNote ledgerNote;
    // Where the sender receives datagrams, "address:port".
    12: optional string replyTo;
    // The receiver is asked for a copy: the sender has none and cannot reach the store.
    13: optional bool wantsRegistry;
    14: optional RegistryCopy registryCopy;
}
