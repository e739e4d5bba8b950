// easylogging++ ships as a header and one source file.
#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)
