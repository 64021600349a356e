#include "ctl/json_view.h"

json_object *json_view_value(json_object *obj, const char *key)
{
	json_object *v = NULL;

	json_object_object_get_ex(obj, key, &v);
	return v;
}

const char *json_view_text_or(json_object *obj, const char *key,
			      const char *fallback)
{
	json_object *v = json_view_value(obj, key);

	return v ? json_object_get_string(v) : fallback;
}

const char *json_view_text(json_object *obj, const char *key)
{
	return json_view_text_or(obj, key, "");
}

size_t json_view_length(json_object *list)
{
	return json_object_is_type(list, json_type_array)
		       ? json_object_array_length(list)
		       : 0;
}
