// `chalksail-edge tls probe`: what a server presents, and whether it would be taken.
#pragma once

#include <string>

// Connects twice (the second time to see whether sessions are resumed) and prints what was seen. Returns the
// exit code: 0 if the server is verified, 1 if not, 2 if it can't be reached or the bundle is bad.
int tls_probe(const std::string& address, const std::string& name, const std::string& trust);
