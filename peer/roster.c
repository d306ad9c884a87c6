/* JSON encoding of the rows of instances, and the ranking of peers. */
#include <glib.h>
#include <string.h>

#include "lib/address.h"
#include "lib/schema.h"
#include "peer/roster.h"

/* The store's clock is a count of milliseconds far below this. */
#define WRITTEN_MAX_MS (INT64_C(1) << 53)

/* Encode an instance's record as JSON; free with free. */
char *peer_record_encode(const struct peer_record *p)
{
	char address[ADDRESS_TEXT_BYTES];
	json_t *v;
	char *s;

	address_format(&p->address, address, sizeof(address));
	v = json_pack("{s:s,s:s,s:I,s:I,s:I}", "domain", p->domain, "address",
		      address, "incarnation", (json_int_t)p->incarnation,
		      "strength", (json_int_t)p->strength, "written_ms",
		      (json_int_t)p->written_ms);
	if (p->memory_mb)
		json_object_set_new(v, "memory_mb", json_integer(p->memory_mb));
	s = json_dumps(v, JSON_COMPACT);
	json_decref(v);
	return s;
}

/* Report whether name can be that of an instance: it fits into its copies. */
static bool name_is_valid(const char *name)
{
	size_t len = strlen(name);

	return len && len < PEER_NAME_BYTES;
}

/*
 * Decode the record of the instance called name. Returns false for another
 * name, or if a field is missing, of another type or out of its bounds. The
 * texts of p are freed with peer_record_clear.
 */
bool peer_record_decode(const char *name, const char *text,
			struct peer_record *p)
{
	json_t *v = json_loads(text, 0, NULL);
	const json_t *domain = json_object_get(v, "domain");
	int64_t incarnation = 0, strength = 0, written_ms = 0, memory_mb = 0;
	bool ok;

	memset(p, 0, sizeof(*p));
	ok = name_is_valid(name) && (!domain || json_is_string(domain)) &&
	     json_read_int(v, "incarnation", 0, INT64_MAX, &incarnation) &&
	     json_read_int(v, "strength", 0, PEER_STRENGTH_MAX, &strength) &&
	     json_read_int(v, "written_ms", 0, WRITTEN_MAX_MS, &written_ms) &&
	     json_read_int(v, "memory_mb", 0, UINT32_MAX, &memory_mb) &&
	     address_parse(json_str_or(v, "address", ""), &p->address) &&
	     address_is_unicast(&p->address);
	p->incarnation = incarnation;
	p->strength = strength;
	p->memory_mb = memory_mb;
	p->written_ms = written_ms;
	if (ok)
		p->domain = g_strdup(json_str_or(v, "domain", ""));
	json_decref(v);
	return ok;
}

/* Free the texts of p. */
void peer_record_clear(struct peer_record *p)
{
	g_free(p->domain);
	p->domain = NULL;
}

/*
 * Return the rank of a peer for an instance in a domain; higher is better.
 * Peers of the same domain rank first. Among equals a hash of both names
 * decides, so that instances spread over the peers and no single one has to
 * serve all.
 */
uint64_t peer_record_rank(const struct peer_record *p, const char *peer,
			  const char *domain, const char *instance)
{
	uint64_t same_domain = !strcmp(p->domain, domain);
	char *pair = g_strconcat(instance, " ", peer, NULL);
	uint64_t hash = g_str_hash(pair) * UINT64_C(2654435761);

	g_free(pair);
	return (same_domain + 1) << 32 | (hash & UINT32_MAX);
}

/*
 * Report whether the instance of a row is gone; store_ms is the present time on
 * the store's clock. A row from the future was not written by an instance.
 */
bool peer_record_is_expired(const struct peer_record *p, uint64_t store_ms)
{
	return p->written_ms + 3 * ROSTER_INTERVAL_MS < store_ms ||
	       p->written_ms > store_ms + 3 * ROSTER_INTERVAL_MS;
}
