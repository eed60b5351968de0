// `chalksail-edge tls probe`: shows what a server presents, and whether it would be accepted.
#pragma once

#include <string>

// Connects twice (the second time to see whether sessions are resumed) and prints what it observed. Returns
// the exit code: 0 if the server is verified, 1 if not, 2 if it can't be reached or the trust bundle is
// invalid.
int tls_probe(const std::string& address, const std::string& name, const std::string& trust);
