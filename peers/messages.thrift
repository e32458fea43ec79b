// Datagrams between the VMs of one deployment. A datagram holds an authentication code
// and one Envelope, encoded with Thrift's compact protocol.
namespace cpp boragepath.peers

// Reports that the sender's failure detector suspects a VM to have failed.
struct Suspicion {
    1: string vm;
    2: i64 fence;
}

// Load of one replica, as the permit server of the replica counts it.
struct ReplicaLoad {
    1: string replica;
    2: i32 running;
    3: i32 waiting;
    // Increases with each report of the same permit server; the highest one is current.
    4: i64 version;
    // The replica has announced that it is shutting down.
    5: bool leaving;
}

// Heartbeat. The reply is the same struct with answer set.
struct Probe {
    1: bool answer;
    2: i64 sequence;
    3: i64 catalogueRevision;
    // Revision of the newest membership or shard row that the sender has read.
    4: i64 placementRevision;
    // The sender cannot renew its lease at present.
    5: bool leaseless;
    6: list<Suspicion> suspicions;
    7: list<ReplicaLoad> loads;
    // Age of the newest table read that catalogueRevision is based on, in milliseconds.
    8: i32 catalogueAgeMillis;
}

// The owner of a program asks a permit server for permission to run a call on a replica.
struct PermitRequest {
    1: i64 permit;
    2: string replica;
    // Service class; 0 has the highest priority.
    3: i16 serviceClass;
    // Service that the whole program tree has received, in milliseconds.
    4: i64 attainedMillis;
    // Time until the program misses its latency objective, in milliseconds; may be negative.
    5: i64 slackMillis;
    // Time that the call has already waited outside this queue, in milliseconds.
    6: i64 waitedMillis;
    // An earlier call of the program has been answered.
    7: bool started;
    // The sender holds the permit already and renews it.
    8: bool held;
}

enum PermitOutcome {
    GRANTED = 0,
    QUEUED = 1,
    REFUSED = 2,
    // The permit is unknown, or the answering VM is not the permit server of the replica.
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

// Returns a permit, or cancels the request for it.
struct PermitRelease {
    1: i64 permit;
    2: string replica;
}

// Acknowledges a PermitRelease.
struct PermitReleased {
    1: i64 permit;
    2: string replica;
}

// A permit server found programs in a replica's memory and asks their owner whether
// they are still active. The owner releases those that are not.
struct HeldPrograms {
    1: string replica;
    // Each as "entry/program".
    2: list<string> programs;
}

// What the sender knows about one VM that callers connect to (a gossip entry).
struct VmNews {
    1: string vm;
    // Address that callers connect to, "address:port".
    2: string front;
    // Address on which this VM receives datagrams, "address:port".
    3: string peers;
    4: string zone;
    // Start time of the process in milliseconds since the epoch; the highest one is current.
    5: i64 incarnation;
    // Time since this incarnation itself was last heard from, in milliseconds.
    6: i32 ageMillis;
    // The VM is shutting down and must not be given to callers.
    7: bool leaving;
    // The VM has no configuration yet and must not be given to callers.
    8: bool starting;
    // The store does not answer this VM.
    9: bool storeAway;
}

// The state of a VM that the receiver probably knows already: a short form of VmNews, since
// every datagram of gossip has one for each VM.
struct VmHeartbeat {
    // Hash of the VM's name and incarnation.
    1: i64 fingerprint;
    // Time since this incarnation itself was last heard from, in milliseconds.
    2: i32 ageMillis;
    // As in VmNews; left out if false.
    3: optional bool leaving;
    4: optional bool starting;
    5: optional bool storeAway;
}

// What the sender last read of the operator's configuration and the replicas' registrations,
// unchanged but for API keys, in place of which it has digests.
struct RegistryCopy {
    1: string configuration;
    // Registrations by replica name.
    2: map<string, string> registrations;
    // Time since the configuration was last known to be the newest, in milliseconds.
    3: optional i64 ageMillis;
    // As in the question that this answers.
    4: optional i64 askedAtMillis;
}

enum LedgerNoteKind {
    RESERVE = 0,
    SETTLE = 1,
    ANSWER = 2,
}

enum LedgerOutcome {
    // The request has arrived and is being processed.
    TAKEN = 0,
    GRANTED = 1,
    // The program's token budget is exhausted.
    SPENT = 2,
    // The store did not answer in time.
    AWAY = 3,
}

// A request to reserve or settle tokens of a program's budget, or the answer to one.
struct LedgerNote {
    // Chosen by the requesting VM; the answers carry the same id.
    1: i64 id;
    2: LedgerNoteKind kind;
    3: string program;
    4: string turn;
    // Limit of the tokens that all turns of the program may generate together.
    5: i64 budget;
    // RESERVE: the most tokens that the turn can generate. SETTLE: the tokens it generated.
    6: i64 tokens;
    // The requester needs the answer within this time.
    7: i32 patienceMillis;
    8: LedgerOutcome outcome;
    // Identifies one conversation (a sequence of turns) within the program.
    9: string session;
    // The replica that last processed the prompt of that conversation, if it is known.
    10: string replica;
    // RESERVE: the turn can end without the store, so that its tokens may be lent.
    11: optional bool mayBorrow;
}

enum StreamOriginNoteKind {
    // A stream has begun; the receiver remembers its origin.
    ANNOUNCEMENT = 0,
    QUESTION = 1,
    ANSWER = 2,
}

// How the answering VM knows the version that began a stream.
enum OriginKnowledge {
    UNKNOWN = 0,
    RECORDED = 1,
    // It has no record, but the service has had no other version for longer than a stream lasts.
    ONLY_VERSION = 2,
    // It has no record, and the service has replicas of several versions.
    SEVERAL_VERSIONS = 3,
}

// Which software version began a stream that its caller may take up at another VM.
struct StreamOriginNote {
    1: StreamOriginNoteKind kind;
    // Chosen by the asking VM; the answers carry the same id.
    2: i64 id;
    // The caller's attempt that brought the first event of the stream.
    3: string firstAttempt;
    // Name of the service.
    4: string pool;
    5: string version;
    // The replica that began the stream; empty if only the version is known.
    6: string replica;
    7: OriginKnowledge knowledge;
}

enum StreamOutputNoteKind {
    // The caller is about to get these bytes; the receiver remembers them.
    ANNOUNCEMENT = 0,
    QUESTION = 1,
    // One of the answers to a question; each brings a part of the output.
    ANSWER = 2,
}

// A part of a stream's output, which a turn's record needs if its caller takes the stream up at
// another VM.
struct StreamOutputNote {
    1: StreamOutputNoteKind kind;
    // Chosen by the asking VM; the answers carry the same id.
    2: i64 id;
    // The caller's attempt that brought the first event of the stream.
    3: string firstAttempt;
    // The caller's attempt in which the bytes were sent.
    4: string attempt;
    // How often the stream had been taken up before that.
    5: i32 resumptions;
    // Length of the output when that attempt began.
    6: i64 attemptBegin;
    // Position of the bytes in the output.
    7: i64 offset;
    8: binary bytes;
    // The id of the event that ends with these bytes. In a question: the last event that the
    // caller has.
    9: optional i64 eventId;
    // ANSWER: the sender knows the whole output up to the event that was asked for.
    10: bool isKnown;
}

// How many requests a replica takes from all VMs together, as its answers say.
struct ReplicaLimitNews {
    // Fingerprint of one incarnation of the replica.
    1: i64 replica;
    // Thousandths of requests per second; -1 if the replica names no limit.
    2: i64 milliRequestsPerSecond;
    // Age of the answer that says so, in milliseconds.
    3: i32 ageMillis;
}

enum SendPermitNoteKind {
    // The sender wants to send one request to the replica.
    QUESTION = 0,
    ANSWER = 1,
}

// Permission to send one request to a replica that has named a limit.
struct SendPermitNote {
    1: SendPermitNoteKind kind;
    // Chosen by the VM that asks; the answer has the same id.
    2: i64 id;
    // What the sender knows about the limit.
    3: ReplicaLimitNews limit;
    4: bool granted;
    // In a question, how long the sender would wait. In an answer, the time until the permit may be
    // used, or until it is worth asking again.
    5: i32 delayMillis;
}

// A replica whose process ended while a request was in progress there.
struct RequestCrash {
    // Fingerprint of the incarnation of the replica.
    1: i64 replica;
    // Time since it ended, in milliseconds.
    2: i32 ageMillis;
    // The request had only begun to run, as far as can be seen.
    3: bool atBeginning;
    // Time since the request had been sent there, in milliseconds.
    4: i32 sentAgeMillis;
}

// What the sender knows about a request under which replicas have ended.
struct RequestCrashNews {
    // The two halves of the request's fingerprint.
    1: i64 high;
    2: i64 low;
    3: list<RequestCrash> crashes;
    // Time since it was last answered as complete, in milliseconds; earlier crashes do not count.
    4: optional i32 answeredAgeMillis;
}

enum QuotaNoteKind {
    // Asks the coordinator of an organisation's quota whether one call may run.
    QUESTION = 0,
    ANSWER = 1,
    // A call that was granted did not run.
    GIVE_BACK = 2,
    // The sender has become the coordinator; asks the VM that was it before for its state.
    TAKE_OVER = 3,
    // Answer to TAKE_OVER; the sender grants nothing more.
    STATE = 4,
}

// A message about one organisation's quota, or one shard of it.
struct QuotaNote {
    1: QuotaNoteKind kind;
    // Chosen by the VM that asks; repetitions and the answer have the same id.
    2: i64 id;
    3: string organisation;
    // Number of the shard, from 0, and of how many.
    4: i32 shard;
    5: i32 shards;
    // Hash of the program's id; 0 for a call that belongs to no program.
    6: i64 program;
    // The quota of the whole organisation, in thousandths of requests per second and of requests.
    7: i64 milliRate;
    8: i64 milliBurst;
    // The call may be the first one of its program.
    9: bool mayBegin;
    10: bool granted;
    // Time after which it is worth asking again, if the call was not granted.
    11: i32 delayMillis;
    // The VM to ask instead, "address:port"; empty if the sender has decided.
    12: string coordinator;
    // Thousandths of requests that are left; may be negative.
    13: i64 milliLevel;
    // Requests of a program on average, in thousandths; 0 if unknown.
    14: i64 milliMean;
    // STATE only: thousandths of programs that may begin, the part of the VMs that the sender has
    // in sight in thousandths, and programs that are under way.
    15: optional i64 milliStarts;
    16: optional i32 milliShare;
    17: optional list<i64> programs;
    // QUESTION only: the organisation had another number of shards less than a window ago.
    18: optional bool resharded;
}

enum LendingNoteKind {
    // The lender is about to lend, and asks the witness to remember that.
    NOTICE = 0,
    // The witness remembers the notice.
    ACKNOWLEDGEMENT = 1,
    // The rows contain all that was lent after the notice.
    CLEARED = 2,
    // The sender replaces the lender: whether it has lent, and no notice is acknowledged any more.
    CLOSE = 3,
    CLOSED = 4,
    // Asks a lender to promise that for a while it lends at most one turn to each program of which
    // it knows no row.
    PROMISE_REQUEST = 5,
    // The lender promises it; the rows contain all that it has lent.
    PROMISE = 6,
    // Asks the VM of a lost lender when the incarnation after it was first answered by the store.
    START_QUESTION = 7,
    START = 8,
}

// A message between a lender of budgets, or a VM that replaces it, and one of its witnesses; or
// about the lender's promises.
struct LendingNote {
    1: LendingNoteKind kind;
    // Names of the incarnations of the lender and of the witness.
    2: string lender;
    3: string witness;
    // Number of the lender's list of witnesses.
    4: i64 revision;
    // Number of the lender's notice, or of the round of promises.
    5: i64 sequence;
    // CLOSED: the rows may lack what the lender has lent.
    6: bool hasLent;
    // START: time of the store's clock in milliseconds.
    7: optional i64 storeMillis;
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
    // Asks the receiver for its gossip: vmNews and vmHeartbeats.
    10: optional bool wantsNews;
    11: optional LedgerNote ledgerNote;
    // Address on which the sender receives datagrams, "address:port".
    12: optional string replyTo;
    // Asks the receiver for a registryCopy: the sender has none and cannot reach the store.
    13: optional bool wantsRegistry;
    14: optional RegistryCopy registryCopy;
    15: optional list<VmHeartbeat> vmHeartbeats;
    // Fingerprints from the receiver's heartbeats that the sender cannot match to a VM; asks for
    // the vmNews of these VMs.
    16: optional list<i64> unknownVms;
    17: optional StreamOriginNote streamOrigin;
    18: optional SendPermitNote sendPermit;
    19: optional list<ReplicaLimitNews> replicaLimits;
    20: optional list<RequestCrashNews> requestCrashes;
    21: optional QuotaNote quotaNote;
    // With wantsRegistry: the asking VM's own time, which the answer repeats.
    22: optional i64 registryAskedAtMillis;
    23: optional StreamOutputNote streamOutput;
    24: optional LendingNote lendingNote;
}
