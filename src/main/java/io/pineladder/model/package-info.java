/**
 * What the service is about: jobs, attempts, machines, teams, subscriptions and settings. Depends
 * on no other package; names are the field's terms, and {@code wire} maps the protocol's to them.
 */
package io.pineladder.model;
