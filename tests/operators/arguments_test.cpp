#include "operators/arguments.h"

#include <gtest/gtest.h>

namespace boragepath {

TEST(Arguments, CatalogueApplyParsesFileAndBaseRevision)
{
    const CommandLine command =
        parseArguments({"catalogue", "apply", "catalogue.json", "--base", "41"});
    EXPECT_EQ(command.subject, "catalogue");
    EXPECT_EQ(command.verb, "apply");
    EXPECT_EQ(command.file, "catalogue.json");
    EXPECT_EQ(command.base, "41");
    EXPECT_FALSE(command.dryRun);
}

TEST(Arguments, DryRunFlagIsParsed)
{
    EXPECT_TRUE(parseArguments({"catalogue", "apply", "catalogue.json", "--dry-run"}).dryRun);
}

TEST(Arguments, OptionsBeforeTheCommandAreAccepted)
{
    const CommandLine command =
        parseArguments({"--json", "--daemon", "127.0.0.12:7001", "explain", "counter", "p-1"});
    EXPECT_TRUE(command.json);
    EXPECT_EQ(command.daemon, "127.0.0.12:7001");
    EXPECT_EQ(command.entry, "counter");
    EXPECT_EQ(command.program, "p-1");
}

TEST(Arguments, IntentsResolveParsesCallAndOutcome)
{
    const CommandLine command =
        parseArguments({"intents", "resolve", "counter", "p-1", "3", "not-run"});
    EXPECT_EQ(command.subject, "intents");
    EXPECT_EQ(command.verb, "resolve");
    EXPECT_EQ(command.call, "3");
    EXPECT_EQ(command.outcome, "not-run");
}

TEST(Arguments, ExplainWithLogParsesFileAndId)
{
    const CommandLine command = parseArguments({"explain", "--log", "day.log", "9f3a"});
    EXPECT_EQ(command.subject, "explain");
    EXPECT_EQ(command.logFile, "day.log");
    EXPECT_EQ(command.id, "9f3a");
}

} // namespace boragepath
