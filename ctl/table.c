/* Tables and records as plain text in columns, for people and text tools. */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define COLUMN_MAX 16
#define CELL_BYTES_MAX 400

/* Write v as text: booleans as yes or no, missing and empty values as -. */
static void format_cell(const json_t *v, char *buf, size_t len)
{
	char *s;

	if (json_is_string(v)) {
		snprintf(buf, len, "%s", json_string_value(v));
	} else if (json_is_boolean(v)) {
		snprintf(buf, len, "%s", json_is_true(v) ? "yes" : "no");
	} else if (v) {
		s = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
		snprintf(buf, len, "%s", s);
		free(s);
	} else {
		snprintf(buf, len, "-");
	}
	if (!*buf)
		snprintf(buf, len, "-");
}

/* Print rows, an array of objects, as a table with a title line. */
void table_print(const json_t *rows, const struct column *columns)
{
	size_t width[COLUMN_MAX] = {0}, n = 0, i;
	char buf[CELL_BYTES_MAX];
	json_t *row;

	for (; columns[n].title; n++) {
		width[n] = strlen(columns[n].title);
		json_array_foreach((json_t *)rows, i, row)
		{
			format_cell(json_object_get(row, columns[n].name), buf,
				    sizeof(buf));
			if (strlen(buf) > width[n])
				width[n] = strlen(buf);
		}
	}
	for (size_t k = 0; k < n; k++)
		printf("%-*s%s", k + 1 < n ? (int)width[k] : 0,
		       columns[k].title, k + 1 < n ? "  " : "\n");
	json_array_foreach((json_t *)rows, i, row)
	{
		for (size_t k = 0; k < n; k++) {
			format_cell(json_object_get(row, columns[k].name), buf,
				    sizeof(buf));
			printf("%-*s%s", k + 1 < n ? (int)width[k] : 0, buf,
			       k + 1 < n ? "  " : "\n");
		}
	}
}

/* Print one object, one line per member. */
void record_print(const json_t *record)
{
	char buf[CELL_BYTES_MAX];
	const char *name;
	json_t *v;

	json_object_foreach((json_t *)record, name, v)
	{
		format_cell(v, buf, sizeof(buf));
		printf("%-16s %s\n", name, buf);
	}
}
