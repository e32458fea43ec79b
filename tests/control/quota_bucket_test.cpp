// The decision of one VM on the requests of one organisation.
#include <gtest/gtest.h>
