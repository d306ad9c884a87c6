/* Validation of JSON values against tables of fields. */
#include <glib.h>
#include <stdarg.h>
#include <string.h>

#include "lib/http.h"
#include "lib/schema.h"

struct problems {
	char *file;
	GPtrArray *lines; /* "file: path: description" */
};

/* Create an empty list of problems; file names the source of the JSON. */
struct problems *problems_create(const char *file)
{
	struct problems *p = g_new0(struct problems, 1);

	p->file = g_strdup(file);
	p->lines = g_ptr_array_new_with_free_func(g_free);
	return p;
}

/* Free p. */
void problems_destroy(struct problems *p)
{
	if (!p)
		return;
	g_ptr_array_free(p->lines, TRUE);
	g_free(p->file);
	g_free(p);
}

/* Add a problem at path; "" stands for the whole value. */
void problem_add(struct problems *p, const char *path, const char *fmt, ...)
{
	va_list ap;
	char *s;

	va_start(ap, fmt);
	s = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(p->lines, g_strdup_printf("%s: %s: %s", p->file,
						  *path ? path : "(whole)", s));
	g_free(s);
}

/* Return the number of problems. */
size_t problems_count(const struct problems *p)
{
	return p->lines->len;
}

/* Return all problems as text, one per line; free with g_free. */
char *problems_text(const struct problems *p)
{
	GString *s = g_string_new(NULL);

	for (guint i = 0; i < p->lines->len; i++)
		g_string_append_printf(s, "%s\n",
				       (char *)g_ptr_array_index(p->lines, i));
	return g_string_free(s, FALSE);
}

/* Return all problems as a JSON array of strings. */
json_t *problems_json(const struct problems *p)
{
	json_t *a = json_array();

	for (guint i = 0; i < p->lines->len; i++)
		json_array_append_new(
			a, json_string(g_ptr_array_index(p->lines, i)));
	return a;
}

static const char *describe_type(const json_t *v)
{
	switch (json_typeof(v)) {
	case JSON_OBJECT:
		return "an object";
	case JSON_ARRAY:
		return "an array";
	case JSON_STRING:
		return "a string";
	case JSON_INTEGER:
		return "an integer";
	case JSON_REAL:
		return "a fraction";
	case JSON_TRUE:
	case JSON_FALSE:
		return "a boolean";
	case JSON_NULL:
		return "null";
	}
	return "something else";
}

/* Add the problem that v is not of the expected type. */
static void add_type_problem(struct problems *p, const char *path,
			     const json_t *v, const char *expected_type)
{
	problem_add(p, path, "found %s, expected %s", describe_type(v),
		    expected_type);
}

static bool name_is_valid(const char *s)
{
	for (; *s; s++)
		if (!g_ascii_isalnum(*s) && !strchr("-_./", *s))
			return false;
	return true;
}

static void check_string(const struct field *f, const json_t *v,
			 const char *path, struct problems *p)
{
	struct sockaddr_in a;
	int64_t len;

	if (!json_is_string(v)) {
		add_type_problem(p, path, v, "a string");
		return;
	}
	len = (int64_t)json_string_length(v);
	if (f->type == FIELD_ADDRESS) {
		if (!address_parse(json_string_value(v), &a))
			problem_add(p, path,
				    "found \"%s\", expected an address such "
				    "as 127.0.0.1:7400",
				    json_string_value(v));
		return;
	}
	if (f->max && (len < f->min || len > f->max))
		problem_add(
			p, path, "found %lld characters, expected %lld to %lld",
			(long long)len, (long long)f->min, (long long)f->max);
	if (f->type == FIELD_NAME && !name_is_valid(json_string_value(v)))
		problem_add(p, path,
			    "found \"%s\", expected letters, digits, "
			    "'-', '_', '.' and '/' only",
			    json_string_value(v));
}

static void check_integer(const struct field *f, const json_t *v,
			  const char *path, struct problems *p)
{
	int64_t n;

	if (!json_is_integer(v)) {
		add_type_problem(p, path, v, "an integer");
		return;
	}
	n = json_integer_value(v);
	if (n < f->min || n > f->max)
		problem_add(p, path, "found %lld, expected %lld to %lld %s",
			    (long long)n, (long long)f->min, (long long)f->max,
			    f->unit ? f->unit : "");
}

static void check_choice(const struct field *f, const json_t *v,
			 const char *path, struct problems *p)
{
	char *all;

	for (const char *const *c = f->choices; *c; c++)
		if (json_is_string(v) && !strcmp(json_string_value(v), *c))
			return;
	all = g_strjoinv(", ", (char **)f->choices);
	if (json_is_string(v))
		problem_add(p, path, "found \"%s\", expected one of %s",
			    json_string_value(v), all);
	else
		problem_add(p, path, "found %s, expected one of %s",
			    describe_type(v), all);
	g_free(all);
}

static void check_value(const struct field *f, const json_t *v,
			const char *path, struct problems *p);

static void check_array(const struct field *f, const json_t *v,
			const char *path, struct problems *p)
{
	int64_t n;

	if (!json_is_array(v)) {
		add_type_problem(p, path, v, "an array");
		return;
	}
	n = (int64_t)json_array_size(v);
	if (f->max && (n < f->min || n > f->max))
		problem_add(p, path, "found %lld items, expected %lld to %lld",
			    (long long)n, (long long)f->min, (long long)f->max);
	for (int64_t i = 0; i < n; i++) {
		struct field item = {.type = f->fields ? FIELD_OBJECT : f->item,
				     .fields = f->fields};
		char *item_path =
			g_strdup_printf("%s[%lld]", path, (long long)i);

		check_value(&item, json_array_get(v, i), item_path, p);
		g_free(item_path);
	}
}

static void check_value(const struct field *f, const json_t *v,
			const char *path, struct problems *p)
{
	switch (f->type) {
	case FIELD_STRING:
	case FIELD_NAME:
	case FIELD_ADDRESS:
		check_string(f, v, path, p);
		break;
	case FIELD_INTEGER:
		check_integer(f, v, path, p);
		break;
	case FIELD_NUMBER:
		if (!json_is_number(v) ||
		    json_number_value(v) < (double)f->min ||
		    json_number_value(v) > (double)f->max)
			problem_add(p, path,
				    "expected a number from %lld to %lld %s",
				    (long long)f->min, (long long)f->max,
				    f->unit ? f->unit : "");
		break;
	case FIELD_BOOL:
		if (!json_is_boolean(v))
			add_type_problem(p, path, v, "true or false");
		break;
	case FIELD_CHOICE:
		check_choice(f, v, path, p);
		break;
	case FIELD_OBJECT:
		schema_check(f->fields, v, path, p);
		break;
	case FIELD_ARRAY:
		check_array(f, v, path, p);
		break;
	case FIELD_ANY:
		break;
	}
}

static const struct field *field_find(const struct field *f, const char *name)
{
	for (; f && f->name; f++)
		if (!strcmp(f->name, name))
			return f;
	return NULL;
}

/*
 * Validate the object v against a table of fields and add every problem to
 * p: unknown names, wrong types, values out of range, missing fields.
 */
void schema_check(const struct field *fields, const json_t *v, const char *path,
		  struct problems *p)
{
	const char *dot = *path ? "." : "";
	const char *name;
	json_t *item;

	if (!json_is_object(v)) {
		add_type_problem(p, path, v, "an object");
		return;
	}
	json_object_foreach((json_t *)v, name, item)
	{
		const struct field *f = field_find(fields, name);
		char *item_path = g_strdup_printf("%s%s%s", path, dot, name);

		if (f)
			check_value(f, item, item_path, p);
		else
			problem_add(p, item_path, "unknown name");
		g_free(item_path);
	}
	for (const struct field *f = fields; f && f->name; f++) {
		char *item_path;

		if (!f->required || json_object_get(v, f->name))
			continue;
		item_path = g_strdup_printf("%s%s%s", path, dot, f->name);
		problem_add(p, item_path, "missing");
		g_free(item_path);
	}
}

/*
 * Parse and validate text of len bytes.  Return NULL, with problems added
 * to p, when it is invalid.
 */
json_t *schema_parse(const struct field *fields, const char *text, size_t len,
		     struct problems *p)
{
	json_error_t err;
	size_t before = problems_count(p);
	json_t *v = json_loadb(text, len, JSON_REJECT_DUPLICATES, &err);

	if (!v) {
		problem_add(p, "", "line %d: %s", err.line, err.text);
		return NULL;
	}
	schema_check(fields, v, "", p);
	if (problems_count(p) == before)
		return v;
	json_decref(v);
	return NULL;
}

/*
 * Read and validate a file.  Return NULL, with problems added to p, when it
 * cannot be read or is invalid.
 */
json_t *schema_load(const struct field *fields, const char *file,
		    struct problems *p)
{
	GError *err = NULL;
	gsize len;
	char *text;
	json_t *v;

	if (!g_file_get_contents(file, &text, &len, &err)) {
		problem_add(p, "", "%s", err->message);
		g_error_free(err);
		return NULL;
	}
	v = schema_parse(fields, text, len, p);
	g_free(text);
	return v;
}

/* Return the integer called name in o, or fallback when there is none. */
int64_t json_int_or(const json_t *o, const char *name, int64_t fallback)
{
	const json_t *v = json_object_get(o, name);

	return json_is_integer(v) ? json_integer_value(v) : fallback;
}

/*
 * Read the integer called name in o into *out, which keeps its value if there
 * is none. Returns false if it is of another type, below min or above max.
 */
bool json_read_int(const json_t *o, const char *name, int64_t min, int64_t max,
		   int64_t *out)
{
	const json_t *v = json_object_get(o, name);

	if (!v)
		return true;
	if (!json_is_integer(v) || json_integer_value(v) < min ||
	    json_integer_value(v) > max)
		return false;
	*out = json_integer_value(v);
	return true;
}

/*
 * Read the string called name in o into `to` of len bytes, which keeps its
 * value if there is none. Returns false if it is of another type or too long.
 */
bool json_read_str(const json_t *o, const char *name, char *to, size_t len)
{
	const json_t *v = json_object_get(o, name);

	if (!v)
		return true;
	return json_is_string(v) &&
	       g_strlcpy(to, json_string_value(v), len) < len;
}

/*
 * Return the number v, at least min and at most max; min if v is no number. The
 * conversion of a double to an integer type that cannot hold it is undefined.
 */
double json_number_within(const json_t *v, double min, double max)
{
	return json_is_number(v) ? CLAMP(json_number_value(v), min, max) : min;
}

/* Return the string called name in o, or fallback when there is none. */
const char *json_str_or(const json_t *o, const char *name, const char *fallback)
{
	const json_t *v = json_object_get(o, name);

	return json_is_string(v) ? json_string_value(v) : fallback;
}
