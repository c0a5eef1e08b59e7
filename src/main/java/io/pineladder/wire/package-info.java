/**
 * The forms of everything that is sent, received, stored or read from the settings file. The words
 * of the protocol and of stored records are mapped to the field's terms here and nowhere else.
 */
package io.pineladder.wire;
