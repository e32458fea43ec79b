// Compares the output of whole sessions with their golden files.
//
// After an intended change of the output, run the test with BORAGEPATH_REGENERATE=1 to write the
// golden files anew, and review the difference before committing it.

#include "tests/golden/session.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace boragepath {

namespace {

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::filesystem::path> sessionFiles()
{
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(BORAGEPATH_GOLDEN_FOLDER)) {
        if (entry.path().extension() == ".session") {
            files.push_back(entry.path());
        }
    }
    return files;
}

} // namespace

TEST(Golden, OutputMatchesTheGoldenFile)
{
    const std::vector<std::filesystem::path> files = sessionFiles();
    ASSERT_FALSE(files.empty());
    for (const std::filesystem::path &file : files) {
        SCOPED_TRACE(file.filename().string());
        std::filesystem::path golden = file;
        golden.replace_extension(".golden");
        const std::string output = playSession(readFile(file));
        if (std::getenv("BORAGEPATH_REGENERATE") != nullptr) {
            std::ofstream(golden) << output;
            continue;
        }
        EXPECT_EQ(output, readFile(golden));
    }
}

TEST(Golden, ReplayingAScriptGivesIdenticalOutput)
{
    for (const std::filesystem::path &file : sessionFiles()) {
        EXPECT_EQ(playSession(readFile(file)), playSession(readFile(file)));
    }
}

} // namespace boragepath
