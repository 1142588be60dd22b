// Holds the precompiled header that every target reuses.
