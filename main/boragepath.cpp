// Entry point of the operators' command-line tool.

#include "operators/arguments.h"
#include "operators/command_line.h"

int main(int argc, char **argv)
{
    return boragepath::runCommand(boragepath::parseArguments({argv + 1, argv + argc}));
}
