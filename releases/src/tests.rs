//! Codecs and rules one by one; histories of whole fleets in true time.
