/**
 * Encodings of all messages, stored records and the settings file. Only this package maps the names
 * used by the protocol and in stored records to the names used in the code.
 */
package io.pineladder.wire;
