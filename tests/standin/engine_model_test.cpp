#include "standin/engine_model.h"

#include <gtest/gtest.h>

namespace boragepath {

namespace {

EngineRequest requestOf(std::uint64_t id, const std::string &program, const std::string &prompt,
                        std::int64_t tokens)
{
    return {id, program, prompt, tokens};
}

/** Runs an engine until it is idle; gives the end of each call. */
std::map<std::uint64_t, EngineEvent> runAll(EngineModel &engine)
{
    std::map<std::uint64_t, EngineEvent> ends;
    while (!engine.idle()) {
        std::vector<EngineEvent> events;
        engine.step(events);
        for (const EngineEvent &event : events) {
            if (event.finished) {
                ends[event.id] = event;
            }
        }
    }
    return ends;
}

} // namespace

TEST(EngineModelTest, TheNextPromptFindsTheWholeHistoryCached)
{
    EngineModel engine({}, std::make_shared<ComputedBlocks>());
    const std::string prompt(6'400, 'x');
    engine.submit(requestOf(1, "e/p", prompt, 32));
    EXPECT_EQ(runAll(engine)[1].cachedTokens, 0);
    const std::string next = prompt + generateAnswer(prompt, 32) + "and then?";
    engine.submit(requestOf(2, "e/p", next, 4));
    const EngineEvent end = runAll(engine)[2];
    EXPECT_EQ(end.promptTokens, 1'600 + 32 + 3);
    EXPECT_EQ(end.cachedTokens, 1'632);
}

TEST(EngineModelTest, ReleaseDropsWhatOnlyThatProgramUsed)
{
    EngineModel engine({}, std::make_shared<ComputedBlocks>());
    const std::string common(640, 'c');
    engine.submit(requestOf(1, "e/p", common + std::string(640, 'p'), 1));
    engine.submit(requestOf(2, "e/q", common + std::string(640, 'q'), 1));
    runAll(engine);
    engine.release("e/p");
    EXPECT_EQ(engine.heldPrograms(engine.stepNumber() + 1), std::vector<std::string>{"e/q"});
    EXPECT_EQ(engine.usedBlocks(), 20) << "the common blocks and those of q stay";
}

TEST(EngineModelTest, MemoryIsBoundedAndCallsStillEnd)
{
    EngineCosts costs;
    costs.kvBlocks = 60;
    EngineModel engine(costs, std::make_shared<ComputedBlocks>());
    for (std::uint64_t id = 1; id <= 6; ++id) {
        engine.submit(requestOf(id, "e/p", std::string(1'920, static_cast<char>('a' + id)), 20));
    }
    EXPECT_EQ(runAll(engine).size(), 6U);
    EXPECT_LE(engine.usedBlocks(), 60);
}

TEST(EngineModelTest, RecomputationIsCounted)
{
    const auto computed = std::make_shared<ComputedBlocks>();
    EngineModel first({}, computed);
    EngineModel second({}, computed);
    const std::string prompt(640, 'x');
    first.submit(requestOf(1, "e/p", prompt, 1));
    runAll(first);
    second.submit(requestOf(1, "e/p", prompt, 1));
    runAll(second);
    EXPECT_EQ(first.counters().recomputedTokens, 0);
    EXPECT_EQ(second.counters().recomputedTokens, 160);
}

TEST(EngineModelTest, CancelledCallsHoldNothing)
{
    EngineModel engine({}, std::make_shared<ComputedBlocks>());
    engine.submit(requestOf(1, "e/p", std::string(640, 'x'), 1'000));
    std::vector<EngineEvent> events;
    engine.step(events);
    engine.cancel(1);
    EXPECT_TRUE(engine.idle());
    engine.release("e/p");
    EXPECT_EQ(engine.usedBlocks(), 0);
}

} // namespace boragepath
