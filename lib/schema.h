/* JSON validation by tables of fields; all errors are reported at once. */
#ifndef LIB_SCHEMA_H
#define LIB_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <jansson.h>

enum field_type {
	FIELD_STRING,
	FIELD_NAME,    /* letters, digits, '-', '_', '.', '/' */
	FIELD_ADDRESS, /* "IP:port" */
	FIELD_INTEGER,
	FIELD_NUMBER, /* integer or real */
	FIELD_BOOL,
	FIELD_CHOICE,
	FIELD_OBJECT,
	FIELD_ARRAY, /* of objects with `fields`, or of type `item` */
	FIELD_ANY,
};

struct field {
	const char *name;
	enum field_type type;
	bool required;
	int64_t min; /* bound of a number's value, a string's or array's length */
	int64_t max;
	const char *unit;	    /* shown in messages; may be NULL */
	const char *const *choices; /* of FIELD_CHOICE, NULL-terminated */
	const struct field *fields; /* of objects, ends with a NULL name */
	enum field_type item;	    /* of arrays without fields */
};

struct problems;

struct problems *problems_create(const char *file);
void problems_destroy(struct problems *p);
void problem_add(struct problems *p, const char *path, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
size_t problems_count(const struct problems *p);
char *problems_text(const struct problems *p);
json_t *problems_json(const struct problems *p);

void schema_check(const struct field *fields, const json_t *v, const char *path,
		  struct problems *p);
json_t *schema_load(const struct field *fields, const char *file,
		    struct problems *p);
json_t *schema_parse(const struct field *fields, const char *text, size_t len,
		     struct problems *p);

int64_t json_int_or(const json_t *o, const char *name, int64_t fallback);
bool json_read_int(const json_t *o, const char *name, int64_t min, int64_t max,
		   int64_t *out);
bool json_read_str(const json_t *o, const char *name, char *to, size_t len);
double json_number_within(const json_t *v, double min, double max);
const char *json_str_or(const json_t *o, const char *name,
			const char *fallback);

#endif
